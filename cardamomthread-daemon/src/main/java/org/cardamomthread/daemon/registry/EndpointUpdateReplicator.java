package org.cardamomthread.daemon.registry;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.EndpointEntryCodec;
import org.cardamomthread.daemon.view.generated.EndpointEntry;
import org.cardamomthread.daemon.view.generated.EndpointNews;
import org.cardamomthread.daemon.view.generated.EndpointNewsAnswer;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;

/**
 * Applies the reports and removals of endpoints to the local registry and replicates them to the
 * other control nodes.
 *
 * <p>Invariant: draining or removal is confirmed to an endpoint only once the leader has applied
 * it, since the gateways use the leader's registry. Thread-safe; the registry is accessed on the
 * control thread only.
 */
public final class EndpointUpdateReplicator {

    /** The topic of endpoint updates between control nodes. */
    public static final PeerTopic TOPIC = new PeerTopic(22, "endpoint-news");

    /**
     * Timeout for confirmation by the leader; endpoints abandon a report after one second and call
     * the next control node.
     */
    private static final Duration CONFIRM_TIMEOUT = Duration.ofMillis(700);

    private static final long EXPIRY_INTERVAL_MS = 500;

    private final EndpointRegistry registry;
    private final Supplier<List<NodeId>> otherControlNodes;
    private final BooleanSupplier isLeader;
    private final PeerTransport transport;
    private final ControlThread controlThread;
    private final DecisionLog log;

    /**
     * Creates a replicator, which receives updates after {@link #start}.
     *
     * @param registry the registry of this node
     * @param otherControlNodes supplies the other control nodes
     * @param isLeader returns whether this node is the leader, whose registry the gateways use
     * @param transport exchanges updates with the other control nodes
     * @param controlThread the thread on which the registry is accessed
     * @param log receives an entry for each change
     */
    public EndpointUpdateReplicator(
            EndpointRegistry registry,
            Supplier<List<NodeId>> otherControlNodes,
            BooleanSupplier isLeader,
            PeerTransport transport,
            ControlThread controlThread,
            DecisionLog log) {
        this.registry = registry;
        this.otherControlNodes = otherControlNodes;
        this.isLeader = isLeader;
        this.transport = transport;
        this.controlThread = controlThread;
        this.log = log;
    }

    /** Starts to receive updates and to expire endpoints that no longer report. */
    public void start() {
        transport.register(TOPIC, this::handleUpdate);
        controlThread.scheduleWithFixedDelay(EXPIRY_INTERVAL_MS, registry::expire);
    }

    /**
     * Applies a report of an endpoint and replicates it.
     *
     * @param report the report of an endpoint
     * @return a future that completes with true if the update may be confirmed to the endpoint
     */
    public CompletableFuture<Boolean> accept(EndpointReport report) {
        return controlThread
                .submit(() -> applyReport(report))
                .thenCompose(
                        entry -> {
                            EndpointNews update =
                                    EndpointNews.newBuilder()
                                            .setEntry(
                                                    EndpointEntryCodec.encode(
                                                            report, report.coldMs()))
                                            .build();
                            return report.isDraining()
                                    ? confirmWithLeader(update)
                                    : broadcast(update);
                        });
    }

    /**
     * Removes an endpoint that stops and replicates the removal.
     *
     * @param endpoint the endpoint that stops
     * @param startTimeMs the start time of the incarnation to remove, or 0 for the known one
     * @return a future that completes with true if the update may be confirmed to the endpoint
     */
    public CompletableFuture<Boolean> remove(EndpointId endpoint, long startTimeMs) {
        return controlThread
                .submit(() -> applyRemoval(endpoint, startTimeMs))
                .thenCompose(
                        entry -> {
                            EndpointNews.Builder update = EndpointNews.newBuilder().setGone(true);
                            if (entry == null) {
                                update.getEntryBuilder()
                                        .setId(endpoint.value())
                                        .setBornMs(startTimeMs);
                            } else {
                                update.setEntry(EndpointEntryCodec.encode(entry.report(), 0));
                            }
                            return confirmWithLeader(update.build());
                        });
    }

    private RegisteredEndpoint applyReport(EndpointReport report) {
        logImplausibleStart(report.id(), report.startTimeMs());
        long previousRevision = registry.revision();
        RegisteredEndpoint entry = registry.accept(report).orElse(null);
        if (registry.revision() != previousRevision) {
            log.log(
                    "endpoint-changed",
                    "endpoint",
                    report.id(),
                    "service",
                    report.service(),
                    "address",
                    report.address(),
                    "dataCentre",
                    report.dataCentre(),
                    "version",
                    report.version(),
                    "leaving",
                    report.isDraining(),
                    "coldMs",
                    report.coldMs(),
                    "reportSequence",
                    report.sequence(),
                    "registerRevision",
                    registry.revision());
        }
        return entry;
    }

    private void logImplausibleStart(EndpointId endpoint, long startTimeMs) {
        if (startTimeMs > registry.latestStartTimeMs()) {
            log.log(
                    "endpoint-report-ignored",
                    "endpoint",
                    endpoint,
                    "startTimeMs",
                    startTimeMs,
                    "latestStartTimeMs",
                    registry.latestStartTimeMs(),
                    "reason",
                    "the start time is ahead of the clock: compare the clocks of both hosts");
        }
    }

    private RegisteredEndpoint applyRemoval(EndpointId endpoint, long startTimeMs) {
        logImplausibleStart(endpoint, startTimeMs);
        RegisteredEndpoint entry = registry.remove(endpoint, startTimeMs).orElse(null);
        log.log(
                "endpoint-gone",
                "endpoint",
                endpoint,
                "wasKnown",
                entry != null,
                "registerRevision",
                registry.revision());
        return entry;
    }

    private CompletableFuture<Boolean> broadcast(EndpointNews update) {
        byte[] payload = update.toByteArray();
        otherControlNodes.get().forEach(node -> transport.send(node, TOPIC, payload));
        return CompletableFuture.completedFuture(true);
    }

    /**
     * Completes with true as soon as the leader has applied the update, or with false if no node
     * confirms that as the leader.
     */
    private CompletableFuture<Boolean> confirmWithLeader(EndpointNews update) {
        byte[] payload = update.toByteArray();
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        List<CompletableFuture<Void>> responses = new ArrayList<>();
        for (NodeId node : otherControlNodes.get()) {
            responses.add(
                    transport
                            .request(node, TOPIC, payload, CONFIRM_TIMEOUT)
                            .handle(
                                    (response, failure) -> {
                                        if (failure == null && isFromLeader(response)) {
                                            confirmed.complete(true);
                                        }
                                        return null;
                                    }));
        }
        if (isLeader.getAsBoolean()) {
            confirmed.complete(true);
        }
        CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
                .whenComplete((all, failure) -> confirmed.complete(false));
        return confirmed;
    }

    private static boolean isFromLeader(byte[] response) {
        try {
            return EndpointNewsAnswer.parseFrom(response).getLeads();
        } catch (InvalidProtocolBufferException e) {
            return false;
        }
    }

    private CompletionStage<byte[]> handleUpdate(NodeId from, byte[] payload) {
        Runnable change;
        try {
            change = decodeChange(EndpointNews.parseFrom(payload));
        } catch (InvalidProtocolBufferException | MalformedMessageException e) {
            log.log("endpoint-update-ignored", "node", from, "reason", e.getMessage());
            return CompletableFuture.failedFuture(e);
        }
        return controlThread.submit(
                () -> {
                    change.run();
                    return EndpointNewsAnswer.newBuilder()
                            .setLeads(isLeader.getAsBoolean())
                            .build()
                            .toByteArray();
                });
    }

    private Runnable decodeChange(EndpointNews update) throws MalformedMessageException {
        EndpointEntry entry = update.getEntry();
        if (!update.getGone()) {
            EndpointReport report = EndpointEntryCodec.decode(entry);
            return () -> applyReport(report);
        }
        if (!Identifiers.isValid(entry.getId())) {
            throw new MalformedMessageException("endpoint id \"" + entry.getId() + "\" is invalid");
        }
        return () -> applyRemoval(new EndpointId(entry.getId()), entry.getBornMs());
    }
}
