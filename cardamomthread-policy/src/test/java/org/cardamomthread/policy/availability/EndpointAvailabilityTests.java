package org.cardamomthread.policy.availability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.availability.Availability.State;
import org.cardamomthread.policy.availability.EndpointAvailability.Incarnation;
import org.cardamomthread.policy.availability.EndpointAvailability.ReportedState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EndpointAvailability}. */
public class EndpointAvailabilityTests {

    private static final Incarnation FIRST = incarnation("e1", 1);
    private static final Incarnation SECOND = incarnation("e1", 2);
    private static final long NOW_MS = 1_000;

    private EndpointAvailability availability;

    @BeforeMethod
    public void create() {
        availability = new EndpointAvailability();
    }

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {ReportedState.ACCEPTING, false, 0L, State.AVAILABLE},
            {ReportedState.ACCEPTING, false, 500L, State.HELD_BACK},
            {ReportedState.ACCEPTING, true, 0L, State.LEAVING},
            {ReportedState.ACCEPTING, true, 500L, State.LEAVING},
            {ReportedState.DRAINING, false, 500L, State.DRAINING},
            {ReportedState.DRAINING, true, 0L, State.DRAINING},
            {ReportedState.OUT_OF_SERVICE, false, 500L, State.OUT_OF_SERVICE},
            {ReportedState.OUT_OF_SERVICE, true, 0L, State.OUT_OF_SERVICE},
        };
    }

    @Test(dataProvider = "statements")
    public void joinsReportAndStatements(
            ReportedState reported, boolean isLeaving, long pauseMs, State expected) {
        if (isLeaving) {
            availability.recordLeaving(FIRST, NOW_MS);
        }
        availability.recordPause(FIRST, pauseMs, NOW_MS);
        assertEquals(availability.assess(FIRST, reported, NOW_MS).state(), expected);
        assertEquals(availability.assess(SECOND, reported, NOW_MS).state(), stateOf(reported));
    }

    @Test
    public void neverShortensPause() {
        availability.recordPause(FIRST, 2_000, NOW_MS);
        availability.recordPause(FIRST, 100, NOW_MS + 500);
        Availability heldBack = assess(NOW_MS + 1_999);
        assertEquals(heldBack.state(), State.HELD_BACK);
        assertEquals(heldBack.availableAtMs(), NOW_MS + 2_000);
        assertTrue(assess(NOW_MS + 2_000).isAvailable());
    }

    @DataProvider
    public Object[][] services() {
        Availability available = new Availability(State.AVAILABLE, 0);
        Availability leaving = new Availability(State.LEAVING, 0);
        Availability pausing = new Availability(State.HELD_BACK, NOW_MS + 300);
        Availability longer = new Availability(State.HELD_BACK, NOW_MS + 900);
        Availability passed = new Availability(State.HELD_BACK, NOW_MS - 1);
        return new Object[][] {
            {List.of(), OptionalLong.empty()},
            {List.of(leaving), OptionalLong.empty()},
            {List.of(longer, pausing, leaving), OptionalLong.of(300)},
            {List.of(longer, passed), OptionalLong.of(0)},
            {List.of(longer, available), OptionalLong.empty()},
        };
    }

    @Test(dataProvider = "services")
    public void statesShortestPauseOfServiceWithoutAvailableEndpoint(
            List<Availability> endpoints, OptionalLong expectedMs) {
        assertEquals(Availability.pauseMs(endpoints, NOW_MS), expectedMs);
    }

    @Test
    public void listsEachLeavingEndpointOnce() {
        assertTrue(availability.recordLeaving(FIRST, NOW_MS));
        assertFalse(availability.recordLeaving(FIRST, NOW_MS + 1));
        availability.recordPause(SECOND, 10, NOW_MS);
        assertEquals(availability.listLeaving(), List.of(FIRST));
    }

    @Test
    public void boundsNumberOfEndpoints() {
        for (int i = 0; i <= EndpointAvailability.MAX_ENDPOINTS; i++) {
            availability.recordLeaving(incarnation("e" + i, 1), NOW_MS);
        }
        assertEquals(availability.listLeaving().size(), EndpointAvailability.MAX_ENDPOINTS);
        assertFalse(availability.listLeaving().contains(incarnation("e0", 1)));
    }

    @Test
    public void dropsStatementsAfterRetentionPeriod() {
        availability.recordLeaving(FIRST, NOW_MS);
        availability.recordLeaving(
                incarnation("e2", 1), NOW_MS + EndpointAvailability.RETENTION_MS + 1);
        assertEquals(availability.listLeaving(), List.of(incarnation("e2", 1)));
    }

    private Availability assess(long nowMs) {
        return availability.assess(FIRST, ReportedState.ACCEPTING, nowMs);
    }

    private static Incarnation incarnation(String id, long number) {
        return new Incarnation(new EndpointId(id), number);
    }

    private static State stateOf(ReportedState reported) {
        return switch (reported) {
            case ACCEPTING -> State.AVAILABLE;
            case DRAINING -> State.DRAINING;
            case OUT_OF_SERVICE -> State.OUT_OF_SERVICE;
            default -> throw new IllegalArgumentException(reported.name());
        };
    }
}
