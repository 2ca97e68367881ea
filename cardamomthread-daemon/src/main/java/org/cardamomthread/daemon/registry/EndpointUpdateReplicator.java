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
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.EndpointEntryCodec;
import org.cardamomthread.daemon.view.generated.EndpointNews;
import org.cardamomthread.daemon.view.generated.EndpointNewsAnswer;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;

/**
 * Takes in what endpoints report and spreads it among the control nodes.
 *
 * <p>Invariant: that an endpoint leaves is confirmed to it only once the node that leads knows it,
 * since the gateways follow that node's register. Safe for use by several threads; the register is
 * used on the control thread only.
 */
public final class EndpointUpdateReplicator {

    /** Carries news between control nodes. */
    public static final PeerTopic TOPIC = new PeerTopic(22, "endpoint-news");

    /** An endpoint gives up on a report after a second and calls the next node. */
    private static final Duration CONFIRM_TIMEOUT = Duration.ofMillis(700);

    private static final long EXPIRY_INTERVAL_MS = 500;

    private final EndpointRegistry registry;
    private final Supplier<List<NodeId>> otherControlNodes;
    private final BooleanSupplier isLeader;
    private final PeerTransport transport;
    private final ControlThread control;
    private final DecisionLog log;

    /**
     * Creates a feed.
     *
     * @param registry the registry of this node
     * @param others lists the other control nodes
     * @param leads tells whether gateways follow this node
     * @param transport the links to other nodes
     * @param control runs everything that uses the register
     * @param log writes changes
     */
    public EndpointUpdateReplicator(
            EndpointRegistry registry,
            Supplier<List<NodeId>> others,
            BooleanSupplier leads,
            PeerTransport transport,
            ControlThread control,
            DecisionLog log) {
        this.registry = registry;
        this.otherControlNodes = others;
        this.isLeader = leads;
        this.transport = transport;
        this.control = control;
        this.log = log;
    }

    /** Begins to take news in. */
    public void start() {
        transport.register(TOPIC, this::handleUpdate);
        control.repeat(EXPIRY_INTERVAL_MS, registry::expire);
    }

    /**
     * Takes a report of an endpoint in.
     *
     * @param report the report
     * @return completes with true if it may be confirmed to the endpoint
     */
    public CompletableFuture<Boolean> accept(EndpointReport report) {
        return control.submit(() -> applyReport(report))
                .thenCompose(
                        entry -> {
                            EndpointNews news =
                                    EndpointNews.newBuilder()
                                            .setEntry(
                                                    EndpointEntryCodec.encode(
                                                            report, report.coldMs()))
                                            .build();
                            return report.isDraining() ? confirmWithLeader(news) : broadcast(news);
                        });
    }

    /**
     * Takes in that an endpoint ends.
     *
     * @param endpoint the endpoint
     * @param bornMs which start is meant, 0 for the known one
     * @return completes with true if it may be confirmed to the endpoint
     */
    public CompletableFuture<Boolean> remove(EndpointId endpoint, long bornMs) {
        return control.submit(() -> applyRemoval(endpoint, bornMs))
                .thenCompose(
                        entry -> {
                            EndpointNews.Builder news = EndpointNews.newBuilder().setGone(true);
                            if (entry == null) {
                                news.getEntryBuilder().setId(endpoint.value()).setBornMs(bornMs);
                            } else {
                                news.setEntry(EndpointEntryCodec.encode(entry.report(), 0));
                            }
                            return confirmWithLeader(news.build());
                        });
    }

    private RegisteredEndpoint applyReport(EndpointReport report) {
        long before = registry.revision();
        RegisteredEndpoint entry = registry.accept(report).orElse(null);
        if (registry.revision() != before) {
            log.write(
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

    private RegisteredEndpoint applyRemoval(EndpointId endpoint, long bornMs) {
        RegisteredEndpoint entry = registry.remove(endpoint, bornMs).orElse(null);
        log.write(
                "endpoint-gone",
                "endpoint",
                endpoint,
                "wasKnown",
                entry != null,
                "registerRevision",
                registry.revision());
        return entry;
    }

    private CompletableFuture<Boolean> broadcast(EndpointNews news) {
        byte[] payload = news.toByteArray();
        otherControlNodes.get().forEach(node -> transport.send(node, TOPIC, payload));
        return CompletableFuture.completedFuture(true);
    }

    /** Completes with true as soon as the leader knows the news, with false if none says so. */
    private CompletableFuture<Boolean> confirmWithLeader(EndpointNews news) {
        byte[] payload = news.toByteArray();
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (NodeId node : otherControlNodes.get()) {
            answers.add(
                    transport
                            .request(node, TOPIC, payload, CONFIRM_TIMEOUT)
                            .handle(
                                    (answer, failure) -> {
                                        if (failure == null && isFromLeader(answer)) {
                                            confirmed.complete(true);
                                        }
                                        return null;
                                    }));
        }
        if (isLeader.getAsBoolean()) {
            confirmed.complete(true);
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .whenComplete((all, failure) -> confirmed.complete(false));
        return confirmed;
    }

    private static boolean isFromLeader(byte[] answer) {
        try {
            return EndpointNewsAnswer.parseFrom(answer).getLeads();
        } catch (InvalidProtocolBufferException e) {
            return false;
        }
    }

    private CompletionStage<byte[]> handleUpdate(NodeId from, byte[] payload) {
        EndpointNews news;
        try {
            news = EndpointNews.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        return control.submit(
                () -> {
                    if (news.getGone()) {
                        applyRemoval(
                                new EndpointId(news.getEntry().getId()),
                                news.getEntry().getBornMs());
                    } else {
                        applyReport(EndpointEntryCodec.decode(news.getEntry()));
                    }
                    return EndpointNewsAnswer.newBuilder()
                            .setLeads(isLeader.getAsBoolean())
                            .build()
                            .toByteArray();
                });
    }
}
