package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;

import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.view.generated.VersionCounts;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link VersionResultCounter} on routes with usual times of 100 ms and 2 s. */
public class VersionResultCounterTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final RouteId SHORT = new RouteId("short");
    private static final RouteId LONG = new RouteId("long");

    private ManualTimeSource time;
    private VersionResultCounter counter;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        counter = new VersionResultCounter(time);
        for (int i = 0; i < 5; i++) {
            answer(start("v1", SHORT, true), 100);
            answer(start("v1", LONG, true), 2_000);
        }
    }

    @Test
    public void countsAnAttemptAsSlowBeforeItIsAnswered() {
        start("v2", SHORT, true);
        time.advanceMs(200);
        assertEquals(counts("v2").getSlow(), 0);
        time.advanceMs(200);
        assertEquals(counts("v2").getSlow(), 1);
    }

    @Test
    public void countsASlowAttemptThatTheClientGaveUp() {
        VersionResultCounter.Attempt attempt = start("v2", SHORT, true);
        time.advanceMs(2_000);
        attempt.recordNoResult();
        assertEquals(counts("v2").getSlow(), 1);
        assertEquals(counts("v2").getTimed(), 1);
    }

    @Test
    public void countsASlowAttemptOnce() {
        VersionResultCounter.Attempt attempt = start("v2", SHORT, true);
        time.advanceMs(400);
        assertEquals(counts("v2").getSlow(), 1);
        answer(attempt, 100);
        attempt.recordNoResult();
        assertEquals(counts("v2").getSlow(), 1);
        assertEquals(counts("v2").getTimed(), 1);
    }

    @Test
    public void comparesAnAttemptWithItsOwnRoute() {
        answer(start("v2", LONG, true), 2_000);
        answer(start("v2", SHORT, true), 2_000);
        assertEquals(counts("v2").getTimed(), 2);
        assertEquals(counts("v2").getSlow(), 1);
    }

    @Test
    public void ignoresTheTimeOfColdEndpoints() {
        answer(start("v2", SHORT, false), 2_000);
        assertEquals(counts("v2").getAnswers(), 1);
        assertEquals(counts("v2").getTimed(), 0);
    }

    @Test
    public void keepsTheUsualTimeOfTheFormerVersion() {
        for (int i = 0; i < 50; i++) {
            answer(counter.start(CHAT, new VersionId("v2"), SHORT, true, false), 1_000);
        }
        assertEquals(counts("v2").getSlow(), 50);
    }

    private VersionResultCounter.Attempt start(String version, RouteId route, boolean isWarm) {
        return counter.start(CHAT, new VersionId(version), route, isWarm, true);
    }

    private void answer(VersionResultCounter.Attempt attempt, long durationMs) {
        time.advanceMs(durationMs);
        attempt.recordFirstByte();
        attempt.recordResult(false);
    }

    private VersionCounts counts(String version) {
        return counter.snapshot().stream()
                .filter(counts -> counts.getVersion().equals(version))
                .findFirst()
                .orElse(VersionCounts.getDefaultInstance());
    }
}
