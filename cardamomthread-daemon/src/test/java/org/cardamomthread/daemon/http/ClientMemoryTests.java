package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which connections {@link ClientMemory} evicts. Guards against a process that holds more
 * than its memory, and against the eviction of ordinary clients in place of those that hold it.
 */
public class ClientMemoryTests {

    private static final int MAX_BYTES = 1_000_000;
    private static final int STALL_MS = 5_000;

    private final List<String> evicted = new ArrayList<>();
    private ManualTimeSource time;
    private ClientMemory memory;

    @BeforeMethod
    public void create() {
        evicted.clear();
        time = new ManualTimeSource();
        memory = new ClientMemory(MAX_BYTES, time);
    }

    @Test
    public void evictsWhatHasHeldTheMostForLongestWithoutProgress() {
        open("small").setReceivedBytes(100_000);
        open("large").setReceivedBytes(300_000);
        time.advanceMs(STALL_MS);
        open("recent").setReceivedBytes(400_000);
        open("next").setReceivedBytes(300_000);
        assertEquals(evicted, List.of("large"));
    }

    @Test
    public void evictsAsManyAsTheBoundNeeds() {
        for (int i = 0; i < 9; i++) {
            open("stalled").setReceivedBytes(100_000);
        }
        time.advanceMs(STALL_MS);
        open("large").setReceivedBytes(900_000);
        assertEquals(evicted.size(), 9);
        assertEquals(memory.heldBytes(), 900_000 + ClientMemory.CONNECTION_BYTES);
    }

    @Test
    public void keepsRequestsInProgressAndRefusesNewOnes() {
        HeldMemory served = open("served");
        served.beginServing(900_000);
        time.advanceMs(STALL_MS);
        open("new").setReceivedBytes(200_000);
        assertEquals(evicted, List.of("new"));
        served.endServing();
        open("later").setReceivedBytes(200_000);
        assertEquals(evicted, List.of("new"));
    }

    @Test
    public void evictsAResponseThatItsClientDoesNotTake() {
        HeldMemory slow = open("slow");
        slow.beginServing(1_000);
        slow.addUnwritten(500_000);
        HeldMemory reading = open("reading");
        reading.beginServing(1_000);
        reading.addUnwritten(400_000);
        time.advanceMs(STALL_MS);
        reading.removeUnwritten(100_000);
        reading.addUnwritten(300_000);
        assertEquals(evicted, List.of("slow"));
    }

    @Test
    public void evictsAClientThatSendsSingleBytesBeforeOneThatSendsMore() {
        HeldMemory trickling = open("trickling");
        trickling.setReceivedBytes(300_000);
        HeldMemory sending = open("sending");
        sending.setReceivedBytes(600_000);
        time.advanceMs(STALL_MS);
        trickling.addProgress(1);
        sending.addProgress(64 * 1024);
        sending.setReceivedBytes(700_000);
        assertEquals(evicted, List.of("trickling"));
    }

    @Test
    public void evictsTheLongestIdleConnections() {
        for (int i = 0; i < 100; i++) {
            open("idle " + i);
            time.advanceMs(STALL_MS);
        }
        open("body").setReceivedBytes(MAX_BYTES - 98 * ClientMemory.CONNECTION_BYTES);
        assertEquals(evicted, List.of("idle 0", "idle 1", "idle 2"));
    }

    @Test
    public void countsNothingOfClosedConnections() {
        HeldMemory connection = open("closed");
        connection.setReceivedBytes(1_000);
        connection.close();
        connection.setReceivedBytes(2_000);
        connection.close();
        assertEquals(memory.heldBytes(), 0);
    }

    private HeldMemory open(String name) {
        return memory.open(() -> evicted.add(name));
    }
}
