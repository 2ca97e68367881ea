package org.cardamomthread.daemon.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.gateway.AttemptObserver;
import org.cardamomthread.daemon.gateway.AttemptReport;
import org.cardamomthread.daemon.gateway.CallTarget;
import org.cardamomthread.daemon.generated.ObservationBatch;
import org.cardamomthread.daemon.generated.ObservationMessage;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports the outcomes of this gateway's attempts to the homes of the endpoints.
 *
 * <p>Invariant: at most {@value #MAX_PENDING_PER_HOME} observations per home are pending for the
 * next batch. Further ones are dropped, which only delays raising the concurrency limit of a cold
 * endpoint. Thread-safe.
 */
public final class ObservationPublisher implements AttemptObserver {

    /** The topic of observations. */
    public static final PeerTopic TOPIC = new PeerTopic(4, "observations");

    private static final Logger LOGGER = LoggerFactory.getLogger(ObservationPublisher.class);
    private static final long INTERVAL_MS = 500;
    private static final int MAX_PENDING_PER_HOME = 200;

    private final SlowStartConcurrencyLimits concurrencyLimits;
    private final PeerTransport transport;
    private final ControlThread control;
    private final TimeSource timeSource;
    private final Map<NodeId, List<PendingObservation>> pendingObservations = new HashMap<>();

    /** An observation that waits for the next batch. */
    private record PendingObservation(ObservationMessage.Builder message, long sentAtMs) {}

    /**
     * Creates a publisher that does not run yet.
     *
     * @param concurrencyLimits receives the observations of endpoints whose home is this node
     * @param transport the transport to other nodes
     * @param control sends the batches
     * @param timeSource the node's clock
     */
    public ObservationPublisher(
            SlowStartConcurrencyLimits concurrencyLimits,
            PeerTransport transport,
            ControlThread control,
            TimeSource timeSource) {
        this.concurrencyLimits = concurrencyLimits;
        this.transport = transport;
        this.control = control;
        this.timeSource = timeSource;
    }

    /** Starts to send and receive observations. */
    public void start() {
        transport.register(TOPIC, this::handleBatch);
        control.scheduleWithFixedDelay(INTERVAL_MS, this::flush);
    }

    @Override
    public void onAttemptEnded(
            CallTarget target, EndpointSnapshot endpoint, VersionId version, AttemptReport report) {
        if (report.isAbandoned()) {
            return;
        }
        long expectedMs =
                Math.max(
                        report.expectedFirstByteMs(),
                        target.traffic().getSlowFirstByteThresholdMs());
        ObservationMessage.Builder message =
                ObservationMessage.newBuilder()
                        .setEndpointId(endpoint.endpoint().value())
                        .setIncarnation(endpoint.incarnation())
                        .setFirstByteMs((int) Math.max(0, report.firstByteMs()))
                        .setExpectedMs((int) expectedMs)
                        .setInFlight(endpoint.load().inFlight() + endpoint.startedSinceLoad() + 1)
                        .setOverloaded(report.isOverloaded());
        PendingObservation observation =
                new PendingObservation(message, timeSource.monotonicMs() - report.durationMs());
        synchronized (pendingObservations) {
            List<PendingObservation> batch =
                    pendingObservations.computeIfAbsent(endpoint.home(), home -> new ArrayList<>());
            if (batch.size() < MAX_PENDING_PER_HOME) {
                batch.add(observation);
            }
        }
    }

    private void flush() {
        concurrencyLimits.removeSilentEndpoints();
        Map<NodeId, List<PendingObservation>> batches;
        synchronized (pendingObservations) {
            batches = new HashMap<>(pendingObservations);
            pendingObservations.clear();
        }
        long nowMs = timeSource.monotonicMs();
        batches.forEach(
                (home, observations) -> {
                    ObservationBatch.Builder batch = ObservationBatch.newBuilder();
                    for (PendingObservation observation : observations) {
                        int sentAgoMs = (int) (nowMs - observation.sentAtMs());
                        batch.addObservations(observation.message().setSentAgoMs(sentAgoMs));
                    }
                    transport.send(home, TOPIC, batch.build().toByteArray());
                });
    }

    private CompletionStage<byte[]> handleBatch(NodeId from, byte[] payload) {
        try {
            ObservationBatch.parseFrom(payload)
                    .getObservationsList()
                    .forEach(concurrencyLimits::recordObservation);
        } catch (InvalidProtocolBufferException failure) {
            LOGGER.warn("dropped malformed observations from node {}", from, failure);
        }
        return CompletableFuture.completedFuture(new byte[0]);
    }
}
