package org.cardamomthread.daemon.view;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.TrialRequest;
import org.cardamomthread.daemon.view.generated.TrialResponse;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the leader whether a request with quarantined prompt parts may be sent. All state is
 * confined to one executor, on which the responses arrive too.
 */
public final class TrialClient {

    /** Timeout of a request; a reachable leader responds within a few milliseconds. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);

    /** Retry delay for requests on which the leader cannot decide at the moment. */
    public static final long UNDECIDED_RETRY_AFTER_MS = 500;

    /** Maximum number of requests in flight, so that rejected clients cause little load. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(TrialClient.class);

    private final PeerTransport transport;
    private final Supplier<Optional<NodeId>> leader;
    private final Executor executor;
    private int requestsInFlight;

    /**
     * Creates a client without requests in flight.
     *
     * @param transport sends the requests to the leader
     * @param leader supplies the current leader, empty while none is known
     * @param executor runs the callbacks
     */
    public TrialClient(
            PeerTransport transport, Supplier<Optional<NodeId>> leader, Executor executor) {
        this.transport = transport;
        this.leader = leader;
        this.executor = executor;
    }

    /**
     * Requests a decision.
     *
     * @param keys the parts of the request, without the last one
     * @param trial identifies the request
     * @param evidence evidence that the leader must know for its decision
     * @param callback receives the decision, either before this method returns or later on the
     *     executor; empty if the leader has not decided, or its decision was lost
     */
    public void request(
            List<PromptPartKey> keys,
            String trial,
            Collection<PromptPartEvidence> evidence,
            Consumer<Optional<TrialDecision>> callback) {
        Optional<NodeId> target = leader.get();
        if (target.isEmpty() || requestsInFlight >= MAX_REQUESTS_IN_FLIGHT) {
            callback.accept(Optional.empty());
            return;
        }
        requestsInFlight++;
        TrialRequest.Builder request =
                TrialRequest.newBuilder().setTrial(trial).addAllEvidence(evidence);
        keys.forEach(key -> request.addParts(QuarantineCodec.encode(key)));
        transport
                .request(
                        target.get(),
                        QuarantineServer.TOPIC,
                        request.build().toByteArray(),
                        REQUEST_TIMEOUT)
                .whenCompleteAsync(
                        (payload, failure) -> {
                            requestsInFlight--;
                            callback.accept(decode(payload, failure));
                        },
                        executor);
    }

    private static Optional<TrialDecision> decode(byte[] payload, Throwable failure) {
        if (failure != null) {
            LOGGER.atInfo()
                    .addKeyValue("reason", failure.getMessage())
                    .log("the leader did not decide on a trial");
            return Optional.empty();
        }
        try {
            TrialResponse response = TrialResponse.parseFrom(payload);
            if (response.getPermitted()) {
                return Optional.of(TrialDecision.TRIAL);
            }
            return response.getRetryAfterMs() > 0
                    ? Optional.of(TrialDecision.rejected(response.getRetryAfterMs()))
                    : Optional.empty();
        } catch (InvalidProtocolBufferException e) {
            LOGGER.atWarn()
                    .setCause(e)
                    .log("received an unreadable decision: run the same release on all nodes");
            return Optional.empty();
        }
    }
}
