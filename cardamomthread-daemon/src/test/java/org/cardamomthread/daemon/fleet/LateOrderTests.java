package org.cardamomthread.daemon.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.traffic.generated.EndMove;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.replication.GroupId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Delays an order at each place on its way while the operator sends it again to another node and
 * then overtakes it with another order.
 */
public class LateOrderTests {

    private static final DataCentreId DATA_CENTRE = new DataCentreId("perth-a");
    private static final ServiceId SERVICE = new ServiceId("chat");
    private static final long LONG_AGO_MS = 3_000;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final TrafficReplica replica = new TrafficReplica();
    private final Queue<Runnable> pendingReads = new ArrayDeque<>();
    private final Queue<Runnable> heldMessages = new ArrayDeque<>();
    private long lastIndex;
    private boolean isReadingBacklog;
    private HeldMessage heldMessage;

    /** The messages on the way of an order. */
    private enum HeldMessage {
        NONE,
        QUERY,
        STATE,
        COMMAND,
        COMMAND_SENT_AGAIN
    }

    /** Where an order is late. */
    private enum Place {
        SOCKET_OF_STOPPED_NODE,
        SOCKET_BEFORE_CLOSE,
        BEFORE_QUERY,
        QUERY,
        STATE,
        COMMAND,
        COMMAND_SENT_AGAIN
    }

    /** Applies commands at once, or holds one of the messages back. */
    private final class HoldingClient implements ProposalClient {

        @Override
        public CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout) {
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            if (heldMessage == HeldMessage.COMMAND_SENT_AGAIN) {
                apply(command);
            }
            deliver(
                    heldMessage == HeldMessage.COMMAND
                            || heldMessage == HeldMessage.COMMAND_SENT_AGAIN,
                    () -> result.complete(apply(command)));
            return result;
        }

        @Override
        public CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout) {
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            if (heldMessage == HeldMessage.STATE) {
                byte[] state = replica.query(query);
                deliver(true, () -> result.complete(state));
            } else {
                deliver(
                        heldMessage == HeldMessage.QUERY,
                        () -> result.complete(replica.query(query)));
            }
            return result;
        }

        private void deliver(boolean isHeld, Runnable message) {
            if (isHeld) {
                heldMessages.add(message);
            } else {
                message.run();
            }
        }
    }

    private byte[] apply(byte[] command) {
        return replica.apply(++lastIndex, command);
    }

    @BeforeMethod
    public void reset() {
        replica.restore(new byte[0]);
        pendingReads.clear();
        heldMessages.clear();
        isReadingBacklog = false;
        heldMessage = HeldMessage.NONE;
    }

    private OrderProposer createProposer() {
        return new OrderProposer(
                () -> Optional.of(new HoldingClient()),
                pendingReads::add,
                () -> isReadingBacklog,
                timeSource,
                new DecisionLog(timeSource));
    }

    private void runPendingReads() {
        while (!pendingReads.isEmpty()) {
            pendingReads.remove().run();
        }
    }

    /** Sends an order to a node that is not disturbed. */
    private int send(PendingOrder order) {
        HeldMessage held = heldMessage;
        heldMessage = HeldMessage.NONE;
        RecordedExchange exchange = new RecordedExchange("/order", "");
        createProposer().propose(exchange, order);
        runPendingReads();
        heldMessage = held;
        return exchange.getStatus();
    }

    private static PendingOrder drain(boolean isDrained) {
        return new DrainOrder(DATA_CENTRE, isDrained);
    }

    private static PendingOrder move(String target) {
        return new VersionMoveOrder(SERVICE, new VersionId(target), 1, 10_000);
    }

    @DataProvider
    public Object[][] lateOrders() {
        List<Object[]> rows = new ArrayList<>();
        for (Place place : Place.values()) {
            rows.add(new Object[] {place, drain(true), drain(false), drain(true)});
            rows.add(new Object[] {place, drain(false), drain(true), drain(false)});
            rows.add(new Object[] {place, move("v2"), move("v3"), move("v2")});
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against an order that is applied after the operator has overtaken it. */
    @Test(dataProvider = "lateOrders")
    public void overtakenOrderHasNoEffect(
            Place place, PendingOrder before, PendingOrder late, PendingOrder last) {
        assertEquals(send(before), 200);
        RecordedExchange exchange = new RecordedExchange("/late", "");
        Runnable release = sendLate(place, exchange, late);

        timeSource.advanceMs(LONG_AGO_MS);
        assertEquals(send(late), 200);
        assertEquals(send(last), 200);
        TrafficState stateOfLastOrder = replica.getState();
        release.run();

        TrafficState state = replica.getState();
        assertEquals(
                state.getDrainedDataCentresList(), stateOfLastOrder.getDrainedDataCentresList());
        assertEquals(state.getMovesList(), stateOfLastOrder.getMovesList());
        assertNotEquals(exchange.getStatus(), 200, "the late order must not be confirmed");
    }

    /** Sends an order that is late at a place, and returns what lets it go on. */
    private Runnable sendLate(Place place, RecordedExchange exchange, PendingOrder order) {
        OrderProposer proposer = createProposer();
        switch (place) {
            case SOCKET_OF_STOPPED_NODE -> {
                return () -> {
                    isReadingBacklog = true;
                    proposer.propose(exchange, order);
                    runPendingReads();
                };
            }
            case SOCKET_BEFORE_CLOSE -> {
                return () -> {
                    proposer.propose(exchange, order);
                    exchange.disconnect();
                    runPendingReads();
                };
            }
            case BEFORE_QUERY -> {
                proposer.propose(exchange, order);
                return pendingReads.remove();
            }
            default -> {
                heldMessage = HeldMessage.valueOf(place.name());
                proposer.propose(exchange, order);
                runPendingReads();
                heldMessage = HeldMessage.NONE;
                return () -> heldMessages.remove().run();
            }
        }
    }

    @Test
    public void orderThatIsSentAgainIsConfirmedOnce() {
        heldMessage = HeldMessage.COMMAND_SENT_AGAIN;
        RecordedExchange exchange = new RecordedExchange("/order", "");
        createProposer().propose(exchange, drain(true));
        runPendingReads();
        long revision = replica.getState().getRevision();
        heldMessages.remove().run();
        assertEquals(exchange.getStatus(), 200);
        assertEquals(replica.getState().getRevision(), revision);
    }

    /** A former leader may decide on a move that was replaced and begun again since. */
    @Test
    public void lateEndOfAnEarlierMoveHasNoEffect() {
        assertEquals(send(move("v2")), 200);
        long earlierMove = replica.getState().getMoveOrderIndexesOrThrow(SERVICE.value());
        assertEquals(send(move("v3")), 200);
        assertEquals(send(move("v2")), 200);
        EndMove end =
                EndMove.newBuilder()
                        .setService(SERVICE.value())
                        .setTarget("v2")
                        .setStage(MoveStage.TAKEN_BACK)
                        .setExpectedOrderIndex(earlierMove)
                        .build();
        apply(TrafficCommand.newBuilder().setEndMove(end).build().toByteArray());
        assertEquals(replica.getState().getMoves(0).getStage(), MoveStage.RUNNING);
    }
}
