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
 * Keeps what the gateways report to the leader: demands, accounting windows, results by version.
 *
 * <p>Invariant: a gateway counts as present for longer than its view lease can last, so that the
 * shares of a silent one are not given away while it may still use them. Used by one thread at a
 * time.
 */
public final class GatewayReports {

    /** Part of a quota that is divided evenly, so that each gateway can serve a first request. */
    private static final double EVEN_FRACTION = 0.2;

    /** How long the accounting windows of a silent gateway are kept. */
    private static final long REPORT_RETENTION_MS = 60_000;

    /** Accounting windows kept for each gateway. */
    private static final long RETAINED_WINDOWS = 12;

    private final TimeSource timeSource;
    private final long presenceTimeoutMs;
    private final Map<NodeId, GatewayReport> reports = new HashMap<>();

    /** Holds what one start of a gateway has reported. */
    private static final class GatewayReport {
        private final long incarnation;
        private final Map<Long, UsageWindow> windows = new TreeMap<>();
        private ViewRequest latestRequest;
        private long receivedMs;

        GatewayReport(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * Creates an empty collection.
     *
     * @param timeSource the clock
     * @param presentMs how long a silent gateway counts as present, in milliseconds
     */
    public GatewayReports(TimeSource timeSource, long presentMs) {
        this.timeSource = timeSource;
        this.presenceTimeoutMs = presentMs;
    }

    /**
     * Takes a report in.
     *
     * @param gateway the gateway
     * @param request its report
     */
    public void accept(NodeId gateway, ViewRequest request) {
        GatewayReport report = reports.get(gateway);
        if (report == null || report.incarnation != request.getIncarnation()) {
            GatewayReport renewed = new GatewayReport(request.getIncarnation());
            if (report != null) {
                renewed.windows.putAll(report.windows);
            }
            report = renewed;
            reports.put(gateway, report);
        }
        report.latestRequest = request;
        report.receivedMs = timeSource.monotonicMs();
        for (UsageWindow window : request.getWindowsList()) {
            report.windows.put(window.getWindow(), window);
        }
        report.windows
                .keySet()
                .removeIf(number -> number < newestWindow(request) - RETAINED_WINDOWS);
        long oldestMs = report.receivedMs - REPORT_RETENTION_MS;
        reports.values().removeIf(known -> known.receivedMs < oldestMs);
    }

    /**
     * Counts the gateways that may hold shares.
     *
     * @return gateways heard of lately, at least 1
     */
    public int countPresent() {
        long present = reports.values().stream().filter(this::isPresent).count();
        return (int) Math.max(1, present);
    }

    /**
     * Computes a gateway's share of each quota: one part evenly, the rest by demand.
     *
     * @param gateway the gateway, which has reported before
     * @return shares from 0 to 1 by client account
     */
    public Map<String, Double> computeShares(NodeId gateway) {
        int gateways = countPresent();
        Map<String, Double> shares = new HashMap<>();
        reports.get(gateway)
                .latestRequest
                .getDemandsMap()
                .forEach(
                        (account, demand) -> {
                            double total = sumDemands(account);
                            double byDemand = total > 0 ? demand / total : 1.0 / gateways;
                            shares.put(
                                    account,
                                    EVEN_FRACTION / gateways + (1 - EVEN_FRACTION) * byDemand);
                        });
        return shares;
    }

    /**
     * Adds up the counts of one accounting window.
     *
     * @param window the window's number
     * @return requests by client account
     */
    public Map<String, Long> sumUsage(long window) {
        Map<String, Long> sums = new TreeMap<>();
        for (GatewayReport report : reports.values()) {
            UsageWindow counts = report.windows.get(window);
            if (counts != null) {
                counts.getCountsMap().forEach((name, count) -> sums.merge(name, count, Long::sum));
            }
        }
        return sums;
    }

    /**
     * Adds up the results of one version over the present gateways.
     *
     * @param service the service
     * @param version the version
     * @return the sums
     */
    public VersionCounts sumVersionResults(String service, String version) {
        return sum(service, version, version::equals);
    }

    /**
     * Adds up the results of all versions but one over the present gateways.
     *
     * @param service the service
     * @param version the version left out
     * @return the sums
     */
    public VersionCounts sumOtherVersionResults(String service, String version) {
        return sum(service, "", other -> !other.equals(version));
    }

    private VersionCounts sum(String service, String name, Predicate<String> isMeant) {
        VersionCounts.Builder sum = VersionCounts.newBuilder().setService(service).setVersion(name);
        for (GatewayReport report : reports.values()) {
            for (VersionCounts counts : report.latestRequest.getVersionsList()) {
                if (counts.getService().equals(service) && isMeant.test(counts.getVersion())) {
                    sum.setAnswers(sum.getAnswers() + counts.getAnswers());
                    sum.setFailures(sum.getFailures() + counts.getFailures());
                    sum.setTotalMs(sum.getTotalMs() + counts.getTotalMs());
                }
            }
        }
        return sum.build();
    }

    /**
     * Adds up what the present gateways send to a service.
     *
     * @param service the service
     * @return requests in flight and prompt tokens added up, with the least time for a token
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
        boolean isLess =
                sum.getMsPerPromptToken() == 0
                        || load.getMsPerPromptToken() < sum.getMsPerPromptToken();
        if (load.getMsPerPromptToken() > 0 && isLess) {
            sum.setMsPerPromptToken(load.getMsPerPromptToken());
        }
    }

    /** Forgets all reports, when another node has led meanwhile. */
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
