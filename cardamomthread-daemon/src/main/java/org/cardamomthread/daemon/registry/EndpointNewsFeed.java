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
import org.cardamomthread.daemon.view.EndpointEntries;
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
public final class EndpointNewsFeed {

    /** Carries news between control nodes. */
    public static final PeerTopic TOPIC = new PeerTopic(22, "endpoint-news");

    /** An endpoint gives up on a report after a second and calls the next node. */
    private static final Duration CONFIRM_TIMEOUT = Duration.ofMillis(700);

    private static final long EXPIRY_INTERVAL_MS = 500;

    private final EndpointRegister register;
    private final Supplier<List<NodeId>> others;
    private final BooleanSupplier leads;
    private final PeerTransport transport;
    private final ControlThread control;
    private final DecisionLog log;

    /**
     * Creates a feed.
     *
     * @param register the register of this node
     * @param others lists the other control nodes
     * @param leads tells whether gateways follow this node
     * @param transport the links to other nodes
     * @param control runs everything that uses the register
     * @param log writes changes
     */
    public EndpointNewsFeed(
            EndpointRegister register,
            Supplier<List<NodeId>> others,
            BooleanSupplier leads,
            PeerTransport transport,
            ControlThread control,
            DecisionLog log) {
        this.register = register;
        this.others = others;
        this.leads = leads;
        this.transport = transport;
        this.control = control;
        this.log = log;
    }

    /** Begins to take news in. */
    public void start() {
        transport.register(TOPIC, this::handle);
        control.repeat(EXPIRY_INTERVAL_MS, register::expire);
    }

    /**
     * Takes a report of an endpoint in.
     *
     * @param report the report
     * @return completes with true if it may be confirmed to the endpoint
     */
    public CompletableFuture<Boolean> accept(EndpointReport report) {
        return control.submit(() -> register(report))
                .thenCompose(
                        entry -> {
                            EndpointNews news =
                                    EndpointNews.newBuilder()
                                            .setEntry(
                                                    EndpointEntries.encode(report, report.coldMs()))
                                            .build();
                            return report.isLeaving() ? confirm(news) : spread(news);
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
        return control.submit(() -> removeHere(endpoint, bornMs))
                .thenCompose(
                        entry -> {
                            EndpointNews.Builder news = EndpointNews.newBuilder().setGone(true);
                            if (entry == null) {
                                news.getEntryBuilder().setId(endpoint.value()).setBornMs(bornMs);
                            } else {
                                news.setEntry(EndpointEntries.encode(entry.report(), 0));
                            }
                            return confirm(news.build());
                        });
    }

    private RegisteredEndpoint register(EndpointReport report) {
        long before = register.revision();
        RegisteredEndpoint entry = register.accept(report).orElse(null);
        if (register.revision() != before) {
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
                    report.isLeaving(),
                    "coldMs",
                    report.coldMs(),
                    "reportSequence",
                    report.sequence(),
                    "registerRevision",
                    register.revision());
        }
        return entry;
    }

    private RegisteredEndpoint removeHere(EndpointId endpoint, long bornMs) {
        RegisteredEndpoint entry = register.remove(endpoint, bornMs).orElse(null);
        log.write(
                "endpoint-gone",
                "endpoint",
                endpoint,
                "wasKnown",
                entry != null,
                "registerRevision",
                register.revision());
        return entry;
    }

    private CompletableFuture<Boolean> spread(EndpointNews news) {
        byte[] payload = news.toByteArray();
        others.get().forEach(node -> transport.send(node, TOPIC, payload));
        return CompletableFuture.completedFuture(true);
    }

    /** Completes with true as soon as the leader knows the news, with false if none says so. */
    private CompletableFuture<Boolean> confirm(EndpointNews news) {
        byte[] payload = news.toByteArray();
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (NodeId node : others.get()) {
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
        if (leads.getAsBoolean()) {
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

    private CompletionStage<byte[]> handle(NodeId from, byte[] payload) {
        EndpointNews news;
        try {
            news = EndpointNews.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        return control.submit(
                () -> {
                    if (news.getGone()) {
                        removeHere(
                                new EndpointId(news.getEntry().getId()),
                                news.getEntry().getBornMs());
                    } else {
                        register(EndpointEntries.decode(news.getEntry()));
                    }
                    return EndpointNewsAnswer.newBuilder()
                            .setLeads(leads.getAsBoolean())
                            .build()
                            .toByteArray();
                });
    }
}
