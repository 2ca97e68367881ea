package org.cardamomthread.processes.fleet;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cardamomthread.processes.Waits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs real nodes under random faults and load, and checks the promises from what callers,
 * operators and endpoints see.
 *
 * <p>{@code -Dsoak.seeds=N} runs N seeds from {@code -Dsoak.first=S} on, each for {@code
 * -Dsoak.seconds=T}. A seed that has ever failed stays in {@link #REGRESSION_SEEDS}.
 */
@Test(groups = "processes")
public class FleetSoakTests {

    /** Seeds that failed once, each with its cause in a comment. */
    private static final List<Long> REGRESSION_SEEDS = List.of();

    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 1);
    private static final long SOAK_MS = Long.getLong("soak.seconds", 20) * 1_000;
    private static final List<String> PATHS =
            List.of("/again/x", "/once/x", "/stream/once/x", "/stream/resumed/x");
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+),\"routes\"");
    private static final int CLIENTS = 6;
    private static final long RECOVERY_MS = 25_000;

    private final AtomicLong nextRequest = new AtomicLong();

    @DataProvider
    public Object[][] seeds() {
        List<Object[]> rows = new ArrayList<>();
        REGRESSION_SEEDS.forEach(seed -> rows.add(new Object[] {seed}));
        for (int i = 0; i < SEEDS; i++) {
            rows.add(new Object[] {FIRST_SEED + i});
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "seeds")
    public void keepsItsPromisesUnderFaults(long seed) throws Exception {
        SoakRecord record = new SoakRecord();
        AtomicReference<String> key = new AtomicReference<>("key-1");
        AtomicBoolean isOver = new AtomicBoolean();
        List<RunnerStandIn> runners = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        List<String> story = new ArrayList<>();
        try (Fleet fleet = new Fleet()) {
            for (int i = 0; i < 3; i++) {
                runners.add(new RunnerStandIn("runner-" + i, fleet.controlAddresses(), true));
            }
            fleet.start(Documents.create(1, key.get()));
            record.acknowledge(1);
            awaitServed(fleet, key.get());
            for (int i = 0; i < CLIENTS; i++) {
                Random random = new Random(seed * CLIENTS + i);
                threads.add(start(() -> callUntil(isOver, fleet, record, key, random)));
            }
            threads.add(start(() -> changeUntil(isOver, fleet, record, key, new Random(seed))));
            threads.add(start(() -> readUntil(isOver, fleet, record, new Random(seed))));
            SoakFaults faults = new SoakFaults(fleet, runners, new Random(seed));
            long endMs = System.currentTimeMillis() + SOAK_MS;
            while (System.currentTimeMillis() < endMs) {
                story.add(faults.next());
                Thread.sleep(new Random(seed + story.size()).nextInt(600));
            }
            isOver.set(true);
            for (Thread thread : threads) {
                thread.join();
            }
            awaitServed(fleet, key.get());
            assertNewest(fleet, record);
            List<String> found = record.findFaults(runners);
            assertTrue(found.isEmpty(), "seed " + seed + ": " + found + " after " + story);
            assertTrue(record.answered() > 0, "seed " + seed + ": nothing was answered");
        } finally {
            isOver.set(true);
            runners.forEach(RunnerStandIn::close);
        }
    }

    private void callUntil(
            AtomicBoolean isOver,
            Fleet fleet,
            SoakRecord record,
            AtomicReference<String> key,
            Random random) {
        while (!isOver.get()) {
            String id = "soak-" + nextRequest.incrementAndGet();
            String path = PATHS.get(random.nextInt(PATHS.size()));
            String usedKey = random.nextInt(10) == 0 ? "key-1" : key.get();
            long sentMs = System.currentTimeMillis();
            int status = 0;
            String body = "";
            try {
                HttpResponse<String> answer =
                        fleet.call(random.nextInt(Fleet.GATEWAYS), path, id, usedKey);
                status = answer.statusCode();
                body = answer.body();
            } catch (IOException lost) {
                pause(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            record.addAnswer(id, path, usedKey, sentMs, status, body);
            pause(random.nextInt(60));
        }
    }

    private static void changeUntil(
            AtomicBoolean isOver,
            Fleet fleet,
            SoakRecord record,
            AtomicReference<String> key,
            Random random) {
        long version = 1;
        while (!isOver.get()) {
            pause(300 + random.nextInt(1_500));
            version += 1 + random.nextInt(3);
            String newKey = random.nextInt(4) == 0 ? "key-" + version : key.get();
            if (isAcknowledged(fleet, Documents.create(version, newKey), random)) {
                record.acknowledge(version);
                String oldKey = key.getAndSet(newKey);
                if (!oldKey.equals(newKey)) {
                    record.revoke(oldKey);
                }
            }
        }
    }

    private static boolean isAcknowledged(Fleet fleet, String document, Random random) {
        for (int i = 0; i < 20; i++) {
            int node = random.nextInt(Fleet.CONTROL_NODES);
            try {
                if (fleet.control(node, "POST", "/Config.Replace", document).statusCode() == 200) {
                    return true;
                }
            } catch (IOException unreachable) {
                pause(100);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
            pause(100);
        }
        return false;
    }

    private static void readUntil(
            AtomicBoolean isOver, Fleet fleet, SoakRecord record, Random random) {
        while (!isOver.get()) {
            pause(200);
            long before = record.newestAcknowledged();
            try {
                HttpResponse<String> answer =
                        fleet.control(
                                random.nextInt(Fleet.CONTROL_NODES), "GET", "/Config.Read", "");
                if (answer.statusCode() == 200) {
                    record.addRead(before, versionOf(answer.body()));
                }
            } catch (IOException unreachable) {
                pause(100);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void assertNewest(Fleet fleet, SoakRecord record) throws Exception {
        for (int i = 0; i < Fleet.CONTROL_NODES; i++) {
            int node = i;
            Waits.until(
                    RECOVERY_MS,
                    "a read of the newest document at control node " + i,
                    () ->
                            versionOf(fleet.control(node, "GET", "/Config.Read", "").body())
                                    >= record.newestAcknowledged());
        }
    }

    private void awaitServed(Fleet fleet, String key) throws Exception {
        for (int i = 0; i < Fleet.GATEWAYS; i++) {
            int gateway = i;
            Waits.until(
                    RECOVERY_MS,
                    "an answer through gateway " + i,
                    () -> {
                        String id = "wait-" + nextRequest.incrementAndGet();
                        return fleet.call(gateway, "/again/x", id, key).statusCode() == 200;
                    });
        }
    }

    private static long versionOf(String document) {
        Matcher matcher = VERSION.matcher(document);
        if (!matcher.find()) {
            throw new IllegalStateException("a document must have a version: " + document);
        }
        return Long.parseLong(matcher.group(1));
    }

    private static Thread start(Runnable action) {
        Thread thread = new Thread(action, "soak");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
