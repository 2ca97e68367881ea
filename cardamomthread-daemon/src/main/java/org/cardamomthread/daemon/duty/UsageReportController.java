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
import org.cardamomthread.daemon.dialect.ControllerLeaseHolder;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.UsageReport;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.ViewServer;

/**
 * Reports the request counts of each accounting window to the platform.
 *
 * <p>Invariant: the counts of a window are committed to the replicated log before they are sent, so
 * that a retry by this or another node carries the same counts. Runs on the control thread.
 */
public final class UsageReportController {

    /** Allows for clocks of gateways that are behind the clock of this node. */
    private static final long MAX_CLOCK_DIFFERENCE_MS = 500;

    private static final Duration RUN_INTERVAL = Duration.ofMillis(500);
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(2);
    private static final int STATUS_SUCCESS_END = 300;

    private final ControllerLease lease;
    private final ViewServer viewServer;
    private final GatewayReports gatewayReports;
    private final TrafficReplica replica;
    private final ProposalClient proposals;
    private final PlatformDialect dialect;
    private final FencedPlatformClient platform;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final UsageWindowClosing closing;
    private final Set<Long> inProgress = new HashSet<>();

    /**
     * Groups the collaborators of the controller. Immutable.
     *
     * @param lease determines whether this node may act
     * @param viewServer determines whether the gateways' reports are complete
     * @param gatewayReports supplies the gateways' counts
     * @param replica supplies the windows that are already closed
     * @param proposals proposes commands to the replicated log
     * @param dialect encodes the reports
     * @param platform sends the reports
     * @param timeSource supplies the wall clock time
     * @param log receives an entry for each report
     */
    public record Dependencies(
            ControllerLease lease,
            ViewServer viewServer,
            GatewayReports gatewayReports,
            TrafficReplica replica,
            ProposalClient proposals,
            PlatformDialect dialect,
            FencedPlatformClient platform,
            TimeSource timeSource,
            DecisionLog log) {}

    /**
     * Creates the controller; {@link #start} schedules it.
     *
     * @param dependencies the collaborators
     * @param windowS the length of an accounting window, in seconds
     * @param deadlineS the time after the end of a window by which it must be reported, in seconds
     */
    public UsageReportController(Dependencies dependencies, long windowS, long deadlineS) {
        lease = dependencies.lease();
        viewServer = dependencies.viewServer();
        gatewayReports = dependencies.gatewayReports();
        replica = dependencies.replica();
        proposals = dependencies.proposals();
        dialect = dependencies.dialect();
        platform = dependencies.platform();
        timeSource = dependencies.timeSource();
        log = dependencies.log();
        closing =
                new UsageWindowClosing(
                        Duration.ofSeconds(windowS).toMillis(),
                        Duration.ofSeconds(deadlineS).toMillis());
    }

    /**
     * Schedules the controller.
     *
     * @param controlThread the thread on which it runs
     */
    public void start(ControlThread controlThread) {
        controlThread.scheduleWithFixedDelay(RUN_INTERVAL.toMillis(), () -> run(controlThread));
    }

    private void run(ControlThread controlThread) {
        if (lease.currentHolder().isEmpty() || !viewServer.isSettled()) {
            return;
        }
        long nowMs = timeSource.millis();
        long newest = closing.newestWindow(nowMs);
        for (long window = closing.oldestWindow(nowMs); window <= newest; window++) {
            if (!inProgress.contains(window)
                    && !isDelivered(window)
                    && closing.isFinal(window, isComplete(window, nowMs), nowMs)) {
                process(window, controlThread);
            }
        }
    }

    /**
     * Returns whether every gateway that may have counted in a window has reported since its end.
     */
    private boolean isComplete(long window, long nowMs) {
        long endMs = timeSource.monotonicMs() - (nowMs - closing.endMs(window));
        long startMs = endMs - closing.windowMs();
        return viewServer.hasLedSince(startMs)
                && gatewayReports.haveAllReportedSince(startMs, endMs + MAX_CLOCK_DIFFERENCE_MS);
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

    private void process(long window, ControlThread controlThread) {
        Optional<UsageWindow> closed = findClosedWindow(window);
        Map<String, Long> counts =
                closed.map(UsageWindow::getCountsMap)
                        .orElseGet(() -> gatewayReports.sumUsage(window));
        if (counts.isEmpty()) {
            return;
        }
        inProgress.add(window);
        if (closed.isPresent()) {
            deliver(closed.get(), controlThread);
            return;
        }
        UsageWindow proposed =
                UsageWindow.newBuilder().setWindow(window).putAllCounts(counts).build();
        propose(TrafficCommand.newBuilder().setCloseWindow(proposed).build())
                .whenComplete(
                        (result, failure) ->
                                controlThread.execute(
                                        () ->
                                                handleWindowClosed(
                                                        window, result, failure, controlThread)));
    }

    private void handleWindowClosed(
            long window, byte[] result, Throwable failure, ControlThread controlThread) {
        if (failure != null) {
            inProgress.remove(window);
            log.log("usage-not-closed", "window", window, "reason", failure.getMessage());
            return;
        }
        try {
            deliver(TrafficResult.parseFrom(result).getWindow(), controlThread);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "the replicated log returned an unreadable result"
                            + " for closing a usage window",
                    e);
        }
    }

    private void deliver(UsageWindow closed, ControlThread controlThread) {
        Optional<ControllerLeaseHolder> holder = lease.currentHolder();
        if (holder.isEmpty()) {
            inProgress.remove(closed.getWindow());
            return;
        }
        UsageReport report = new UsageReport(closed.getWindow(), closed.getCountsMap());
        platform.send(dialect.encodeUsageReport(report, holder.get()))
                .whenComplete(
                        (status, failure) ->
                                controlThread.execute(
                                        () ->
                                                handleDeliveryResult(
                                                        closed, holder.get(), status, failure)));
    }

    private void handleDeliveryResult(
            UsageWindow closed, ControllerLeaseHolder holder, Integer status, Throwable failure) {
        long window = closed.getWindow();
        inProgress.remove(window);
        boolean isAccepted = failure == null && status < STATUS_SUCCESS_END;
        log.log(
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
