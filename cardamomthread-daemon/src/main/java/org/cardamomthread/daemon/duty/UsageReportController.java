package org.cardamomthread.daemon.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficResult;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.configuration.traffic.generated.UsageWindow;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.DutyHolder;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.UsageReport;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.ViewServer;

/**
 * Reports the requests of each accounting window to the platform.
 *
 * <p>Invariant: the counts of a window are fixed in the replicated log before they are sent, so
 * that a repeat by this or another node bears the same counts. Runs on the control thread.
 */
public final class UsageReportController {

    /** Time for the gateways' last counts of a window to arrive, several of their reports. */
    private static final Duration REPORT_GRACE_PERIOD = Duration.ofMillis(1_500);

    private static final Duration RUN_INTERVAL = Duration.ofMillis(500);
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(2);
    private static final int STATUS_SUCCESS_END = 300;

    private final ControllerLease lease;
    private final ViewServer viewServer;
    private final GatewayReports gatewayReports;
    private final TrafficReplica replica;
    private final ProposalClient proposals;
    private final PlatformDialect dialect;
    private final PlatformClient platform;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final long windowMs;
    private final long reportDeadlineMs;
    private final Set<Long> inProgress = new HashSet<>();

    /**
     * Groups what the duty works with. Immutable.
     *
     * @param lease tells whether this node may act
     * @param views tells whether the gateways' reports are complete
     * @param reports the gateways' counts
     * @param replica the windows closed so far
     * @param proposals reaches the replicated log
     * @param dialect writes the reports
     * @param platform sends them
     * @param timeSource the clock
     * @param log writes what was reported
     */
    public record Dependencies(
            ControllerLease lease,
            ViewServer viewServer,
            GatewayReports gatewayReports,
            TrafficReplica replica,
            ProposalClient proposals,
            PlatformDialect dialect,
            PlatformClient platform,
            TimeSource timeSource,
            DecisionLog log) {}

    /**
     * Creates the duty.
     *
     * @param environment what it works with
     * @param windowS the length of a window, in seconds
     * @param lateS time after its end by which a window must be reported, in seconds
     */
    public UsageReportController(Dependencies environment, long windowS, long lateS) {
        lease = environment.lease();
        viewServer = environment.viewServer();
        gatewayReports = environment.gatewayReports();
        replica = environment.replica();
        proposals = environment.proposals();
        dialect = environment.dialect();
        platform = environment.platform();
        timeSource = environment.timeSource();
        log = environment.log();
        windowMs = Duration.ofSeconds(windowS).toMillis();
        reportDeadlineMs = Duration.ofSeconds(lateS).toMillis();
    }

    /**
     * Begins to perform the duty.
     *
     * @param control runs it
     */
    public void start(ControlThread control) {
        control.repeat(RUN_INTERVAL.toMillis(), () -> run(control));
    }

    private void run(ControlThread control) {
        if (lease.current().isEmpty() || !viewServer.isSettled()) {
            return;
        }
        long nowMs = timeSource.millis();
        long newest = (nowMs - REPORT_GRACE_PERIOD.toMillis()) / windowMs - 1;
        long oldest = (nowMs - reportDeadlineMs) / windowMs;
        for (long window = oldest; window <= newest; window++) {
            if (!inProgress.contains(window) && !isDelivered(window)) {
                process(window, control);
            }
        }
    }

    private boolean isDelivered(long window) {
        return findClosedWindow(window).filter(UsageWindow::getDelivered).isPresent();
    }

    private Optional<UsageWindow> findClosedWindow(long window) {
        TrafficState state = replica.getState();
        return state.getWindowsList().stream()
                .filter(known -> known.getWindow() == window)
                .findFirst();
    }

    private void process(long window, ControlThread control) {
        Optional<UsageWindow> closed = findClosedWindow(window);
        Map<String, Long> counts =
                closed.map(UsageWindow::getCountsMap)
                        .orElseGet(() -> gatewayReports.sumUsage(window));
        if (counts.isEmpty()) {
            return;
        }
        inProgress.add(window);
        if (closed.isPresent()) {
            deliver(closed.get(), control);
            return;
        }
        UsageWindow proposed =
                UsageWindow.newBuilder().setWindow(window).putAllCounts(counts).build();
        propose(TrafficCommand.newBuilder().setCloseWindow(proposed).build())
                .whenComplete(
                        (answer, failure) ->
                                control.execute(
                                        () ->
                                                handleWindowClosed(
                                                        window, answer, failure, control)));
    }

    private void handleWindowClosed(
            long window, byte[] answer, Throwable failure, ControlThread control) {
        if (failure != null) {
            inProgress.remove(window);
            log.write("usage-not-closed", "window", window, "reason", failure.getMessage());
            return;
        }
        try {
            deliver(TrafficResult.parseFrom(answer).getWindow(), control);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the log must answer with a result", e);
        }
    }

    private void deliver(UsageWindow closed, ControlThread control) {
        Optional<DutyHolder> holder = lease.current();
        if (holder.isEmpty()) {
            inProgress.remove(closed.getWindow());
            return;
        }
        UsageReport report = new UsageReport(closed.getWindow(), closed.getCountsMap());
        platform.send(dialect.encodeUsage(report, holder.get()))
                .whenComplete(
                        (status, failure) ->
                                control.execute(
                                        () ->
                                                handleDeliveryResult(
                                                        closed, holder.get(), status, failure)));
    }

    private void handleDeliveryResult(
            UsageWindow closed, DutyHolder holder, Integer status, Throwable failure) {
        long window = closed.getWindow();
        inProgress.remove(window);
        boolean isAccepted = failure == null && status < STATUS_SUCCESS_END;
        log.write(
                isAccepted ? "usage-reported" : "usage-not-reported",
                "window",
                window,
                "counts",
                closed.getCountsMap(),
                "fencingNumber",
                holder.fencingToken(),
                "result",
                failure == null ? status : failure.getMessage());
        if (isAccepted) {
            propose(TrafficCommand.newBuilder().setDeliveredWindow(window).build());
        }
    }

    private CompletableFuture<byte[]> propose(TrafficCommand command) {
        return proposals.propose(GroupDefinition.TRAFFIC, command.toByteArray(), PROPOSAL_TIMEOUT);
    }
}
