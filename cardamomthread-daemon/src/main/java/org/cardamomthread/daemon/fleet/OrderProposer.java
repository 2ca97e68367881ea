package org.cardamomthread.daemon.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficResult;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.daemon.telemetry.DecisionLog;

/**
 * Proposes orders whose effect depends on the sequence in which they are applied.
 *
 * <p>An operator that gets no response sends the order to another node and goes on with other
 * orders, while the bytes of the first one may still lie in a socket, a queue or a message.
 * Invariants: an order is proposed only while its caller can still wait for the response; it names
 * the order that was in force at that time, so that it has no effect if another one is applied
 * first. Thread-safe.
 */
final class OrderProposer {

    /** Below the second after which operators try another node. */
    private static final Duration MAX_ORDER_AGE = Duration.ofMillis(900);

    private final Supplier<Optional<ProposalClient>> proposals;
    private final Executor afterClose;
    private final BooleanSupplier isReadingBacklog;
    private final TimeSource timeSource;
    private final DecisionLog log;

    /**
     * Creates a proposer.
     *
     * @param proposals supplies the client of the replication group, empty until the voters are
     *     known
     * @param afterClose runs tasks once a close that was sent behind a request is known
     * @param isReadingBacklog returns whether a request may have arrived long before it is read
     * @param timeSource supplies monotonic time, including time for which the host was suspended
     * @param log receives an entry for each order that is not confirmed
     */
    OrderProposer(
            Supplier<Optional<ProposalClient>> proposals,
            Executor afterClose,
            BooleanSupplier isReadingBacklog,
            TimeSource timeSource,
            DecisionLog log) {
        this.proposals = proposals;
        this.afterClose = afterClose;
        this.isReadingBacklog = isReadingBacklog;
        this.timeSource = timeSource;
        this.log = log;
    }

    /**
     * Runs an action if the caller of a request that was just read still waits for its response.
     */
    void runWhileCallerWaits(HttpExchange exchange, Runnable action) {
        runWhileCallerWaits(new ReceivedOrder(exchange), action);
    }

    private void runWhileCallerWaits(ReceivedOrder order, Runnable action) {
        if (isReadingBacklog.getAsBoolean()) {
            order.refuse("this node did not run for a while, so the order may be an old one");
            return;
        }
        afterClose.execute(
                () -> {
                    if (order.isCallerWaiting()) {
                        action.run();
                    }
                });
    }

    /** Proposes an order that was just read and responds to it. */
    void propose(HttpExchange exchange, PendingOrder pendingOrder) {
        ReceivedOrder order = new ReceivedOrder(exchange);
        runWhileCallerWaits(
                order,
                () ->
                        proposals
                                .get()
                                .ifPresentOrElse(
                                        client -> readLastOrder(client, order, pendingOrder),
                                        () -> order.refuse("the voters are not known yet")));
    }

    private void readLastOrder(
            ProposalClient client, ReceivedOrder order, PendingOrder pendingOrder) {
        client.query(GroupDefinition.TRAFFIC, TrafficReplica.ORDERS_QUERY, order.remainingTime())
                .thenCompose(
                        state ->
                                order.isCallerWaiting()
                                        ? proposeAfter(client, state, order, pendingOrder)
                                        : CompletableFuture.<Void>completedFuture(null))
                .exceptionally(
                        failure -> {
                            order.refuse(String.valueOf(failure.getMessage()));
                            return null;
                        });
    }

    private CompletableFuture<Void> proposeAfter(
            ProposalClient client,
            byte[] encodedState,
            ReceivedOrder order,
            PendingOrder pendingOrder) {
        TrafficCommand command;
        try {
            TrafficState state = TrafficState.parseFrom(encodedState);
            command = pendingOrder.toCommand(pendingOrder.lastOrderIndex(state));
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        return client.propose(GroupDefinition.TRAFFIC, command.toByteArray(), order.remainingTime())
                .thenAccept(result -> order.finish(command, result));
    }

    /** An order with the time at which it was read. */
    private final class ReceivedOrder {

        private final HttpExchange exchange;
        private final long receivedMs = timeSource.monotonicMs();
        private final AtomicBoolean isCallerGone = new AtomicBoolean();

        ReceivedOrder(HttpExchange exchange) {
            this.exchange = exchange;
            exchange.onDisconnect(() -> isCallerGone.set(true));
        }

        Duration remainingTime() {
            return MAX_ORDER_AGE.minusMillis(timeSource.monotonicMs() - receivedMs);
        }

        /** Returns whether the caller still waits; otherwise the order is refused. */
        boolean isCallerWaiting() {
            Duration remaining = remainingTime();
            if (isCallerGone.get()) {
                refuse("its caller has closed the connection");
                return false;
            }
            if (remaining.isNegative() || remaining.isZero()) {
                refuse("it was received longer ago than " + MAX_ORDER_AGE.toMillis() + " ms");
                return false;
            }
            return true;
        }

        void finish(TrafficCommand command, byte[] encodedResult) {
            TrafficResult result;
            try {
                result = TrafficResult.parseFrom(encodedResult);
            } catch (InvalidProtocolBufferException e) {
                refuse("the replicated log returned an unreadable result");
                return;
            }
            if (result.getOvertaken()) {
                refuse("a later order is in force");
                return;
            }
            log.log(
                    "order-acknowledged",
                    "order",
                    command.getActionCase(),
                    "call",
                    exchange.getRequest().path());
            exchange.respond(ServerResponse.create(200, "application/json", "{}".getBytes()));
        }

        void refuse(String reason) {
            log.log(
                    "order-not-confirmed",
                    "call",
                    exchange.getRequest().path(),
                    "ageMs",
                    timeSource.monotonicMs() - receivedMs,
                    "reason",
                    reason);
            exchange.respond(ServerResponse.createText(503, "not confirmed, ask again\n"));
        }
    }
}
