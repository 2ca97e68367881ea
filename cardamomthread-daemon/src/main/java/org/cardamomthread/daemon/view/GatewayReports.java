package org.cardamomthread.daemon.view;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cardamomthread.configuration.traffic.generated.UsageWindow;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.ServiceLoad;
import org.cardamomthread.daemon.view.generated.VersionCounts;
import org.cardamomthread.daemon.view.generated.ViewRequest;

/**
 * Stores the gateways' reports to the leader: quota demands, accounting windows, results by version
 * and service loads.
 *
 * <p>Invariant: a gateway counts as present for longer than its view lease can last, so that the
 * shares of an unreachable gateway are not reassigned while it may still use them. Not thread-safe.
 */
public final class GatewayReports {

    /**
     * Fraction of a quota that is divided evenly, so that every gateway can admit a first request.
     */
    private static final double EVEN_FRACTION = 0.2;

    /**
     * Time for which the report of a gateway that no longer reports is kept, for its accounting
     * windows.
     */
    private static final long REPORT_RETENTION_MS = 60_000;

    /** Number of accounting windows kept for each gateway. */
    private static final long RETAINED_WINDOWS = 12;

    private final TimeSource timeSource;
    private final long presenceTimeoutMs;
    private final Map<NodeId, GatewayReport> reports = new HashMap<>();

    /** Holds the report of one incarnation of a gateway, and the counts of earlier ones. */
    private static final class GatewayReport {
        private final long incarnation;
        private final Map<Long, UsageWindow> windows = new TreeMap<>();
        private final Map<Long, Map<String, Long>> earlierCounts = new TreeMap<>();
        private ViewRequest latestRequest;
        private long receivedMs;

        GatewayReport(long incarnation) {
            this.incarnation = incarnation;
        }

        void addEarlier(GatewayReport earlier) {
            earlierCounts.putAll(earlier.earlierCounts);
            earlier.windows.forEach(
                    (number, window) ->
                            earlierCounts.merge(number, window.getCountsMap(), GatewayReport::add));
        }

        Map<String, Long> countsOf(long number) {
            UsageWindow current = windows.getOrDefault(number, UsageWindow.getDefaultInstance());
            return add(earlierCounts.getOrDefault(number, Map.of()), current.getCountsMap());
        }

        void dropWindowsBefore(long oldest) {
            windows.keySet().removeIf(number -> number < oldest);
            earlierCounts.keySet().removeIf(number -> number < oldest);
        }

        private static Map<String, Long> add(Map<String, Long> first, Map<String, Long> second) {
            Map<String, Long> sums = new TreeMap<>(first);
            second.forEach((account, count) -> sums.merge(account, count, Long::sum));
            return sums;
        }
    }

    /**
     * Creates a store without reports.
     *
     * @param timeSource supplies monotonic time
     * @param presenceTimeoutMs how long a gateway counts as present after its last report, in
     *     milliseconds
     */
    public GatewayReports(TimeSource timeSource, long presenceTimeoutMs) {
        this.timeSource = timeSource;
        this.presenceTimeoutMs = presenceTimeoutMs;
    }

    /**
     * Stores a gateway's report, which replaces its previous one. The counts of earlier
     * incarnations are kept, and a late report of one is ignored.
     *
     * @param gateway the gateway that reports
     * @param request the request that carries the report
     */
    public void accept(NodeId gateway, ViewRequest request) {
        GatewayReport report = reports.get(gateway);
        if (report != null && request.getIncarnation() < report.incarnation) {
            return;
        }
        if (report == null || report.incarnation != request.getIncarnation()) {
            GatewayReport replacement = new GatewayReport(request.getIncarnation());
            if (report != null) {
                replacement.addEarlier(report);
            }
            report = replacement;
            reports.put(gateway, report);
        }
        report.latestRequest = request;
        report.receivedMs = timeSource.monotonicMs();
        for (UsageWindow window : request.getWindowsList()) {
            report.windows.put(window.getWindow(), window);
        }
        report.dropWindowsBefore(newestWindow(request) - RETAINED_WINDOWS);
        long oldestMs = report.receivedMs - REPORT_RETENTION_MS;
        reports.values().removeIf(stored -> stored.receivedMs < oldestMs);
    }

    /**
     * Returns the number of gateways that may hold quota shares.
     *
     * @return the number of gateways that reported recently, at least 1
     */
    public int countPresent() {
        long present = reports.values().stream().filter(this::isPresent).count();
        return (int) Math.max(1, present);
    }

    /**
     * Computes a gateway's share of each quota: a fixed fraction evenly, the rest in proportion to
     * demand.
     *
     * @param gateway a gateway that has reported before
     * @return the shares from 0 to 1, by client account
     */
    public Map<String, Double> computeShares(NodeId gateway) {
        int gatewayCount = countPresent();
        Map<String, Double> shares = new HashMap<>();
        reports.get(gateway)
                .latestRequest
                .getDemandsMap()
                .forEach(
                        (account, demand) -> {
                            double total = sumDemands(account);
                            double byDemand = total > 0 ? demand / total : 1.0 / gatewayCount;
                            shares.put(
                                    account,
                                    EVEN_FRACTION / gatewayCount + (1 - EVEN_FRACTION) * byDemand);
                        });
        return shares;
    }

    /**
     * Returns the request counts of one accounting window, over all gateways.
     *
     * @param window the window's number
     * @return the number of requests by client account
     */
    public Map<String, Long> sumUsage(long window) {
        Map<String, Long> sums = new TreeMap<>();
        for (GatewayReport report : reports.values()) {
            report.countsOf(window)
                    .forEach((account, count) -> sums.merge(account, count, Long::sum));
        }
        return sums;
    }

    /**
     * Returns whether the counts of an accounting window are complete.
     *
     * @param startMs start of the window, in monotonic milliseconds
     * @param endMs time since which each gateway must have reported, in monotonic milliseconds
     * @return true if every gateway that may have served requests in the window has
     */
    public boolean haveAllReportedSince(long startMs, long endMs) {
        return reports.values().stream()
                .allMatch(
                        report ->
                                report.receivedMs >= endMs
                                        || report.receivedMs < startMs - presenceTimeoutMs);
    }

    /**
     * Returns the results of one version, added up over the gateways.
     *
     * @param service the service
     * @param version the version
     * @return the sums
     */
    public VersionCounts sumVersionResults(String service, String version) {
        return sum(service, version, version::equals);
    }

    /**
     * Returns the results of all versions but one, added up over the gateways.
     *
     * @param service the service
     * @param version the version to exclude
     * @return the sums
     */
    public VersionCounts sumOtherVersionResults(String service, String version) {
        return sum(service, "", other -> !other.equals(version));
    }

    private VersionCounts sum(
            String service, String reportedVersion, Predicate<String> isIncluded) {
        VersionCounts.Builder sum =
                VersionCounts.newBuilder().setService(service).setVersion(reportedVersion);
        for (GatewayReport report : reports.values()) {
            for (VersionCounts counts : report.latestRequest.getVersionsList()) {
                if (counts.getService().equals(service) && isIncluded.test(counts.getVersion())) {
                    sum.setAnswers(sum.getAnswers() + counts.getAnswers());
                    sum.setFailures(sum.getFailures() + counts.getFailures());
                    sum.setTotalMs(sum.getTotalMs() + counts.getTotalMs());
                    sum.setTimed(sum.getTimed() + counts.getTimed());
                    sum.setSlow(sum.getSlow() + counts.getSlow());
                }
            }
        }
        return sum.build();
    }

    /**
     * Returns the load that the present gateways send to a service.
     *
     * @param service the service
     * @return the sums of requests in flight and prompt tokens per second, and the minimum time per
     *     prompt token
     */
    public ServiceLoad sumServiceLoad(String service) {
        ServiceLoad.Builder sum = ServiceLoad.newBuilder().setService(service);
        for (GatewayReport report : reports.values()) {
            if (!isPresent(report)) {
                continue;
            }
            for (ServiceLoad load : report.latestRequest.getLoadsList()) {
                if (load.getService().equals(service)) {
                    add(sum, load);
                }
            }
        }
        return sum.build();
    }

    private static void add(ServiceLoad.Builder sum, ServiceLoad load) {
        sum.setInFlight(sum.getInFlight() + load.getInFlight());
        sum.setPromptTokensPerS(sum.getPromptTokensPerS() + load.getPromptTokensPerS());
        boolean isLower =
                sum.getMsPerPromptToken() == 0
                        || load.getMsPerPromptToken() < sum.getMsPerPromptToken();
        if (load.getMsPerPromptToken() > 0 && isLower) {
            sum.setMsPerPromptToken(load.getMsPerPromptToken());
        }
    }

    /** Removes all reports; required when another node may have been the leader in the meantime. */
    public void clear() {
        reports.clear();
    }

    private static long newestWindow(ViewRequest request) {
        return request.getWindowsList().stream()
                .mapToLong(UsageWindow::getWindow)
                .max()
                .orElse(Long.MIN_VALUE + RETAINED_WINDOWS);
    }

    private double sumDemands(String account) {
        return reports.values().stream()
                .filter(this::isPresent)
                .mapToDouble(report -> report.latestRequest.getDemandsOrDefault(account, 0))
                .sum();
    }

    private boolean isPresent(GatewayReport report) {
        return timeSource.monotonicMs() - report.receivedMs <= presenceTimeoutMs;
    }
}
