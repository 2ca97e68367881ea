package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.VersionCounts;

/**
 * Counts responses, failures and slow responses by service and version.
 *
 * <p>A response is slow if it takes several times as long as is usual on its route. An attempt
 * counts as slow as soon as it has taken that long, whether or not it is ever answered. Not
 * thread-safe.
 */
final class VersionResultCounter {

    /** Factor on the usual time above which an attempt is slow. */
    private static final double SLOW_FACTOR = 2.5;

    /** Time added to the scaled usual time, so that small delays do not make an attempt slow. */
    private static final double SLOW_MARGIN_MS = 50;

    /** Number of routes whose usual times are kept, since documents add and remove routes. */
    private static final int MAX_ROUTES = 4_096;

    private final TimeSource timeSource;
    private final Map<Version, VersionCounts.Builder> counts = new HashMap<>();
    private final Map<Route, UsualTimes> usualTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Route, UsualTimes> eldest) {
                    return size() > MAX_ROUTES;
                }
            };
    private final Set<Attempt> inProgress = new HashSet<>();

    private record Version(ServiceId service, VersionId version) {}

    private record Route(ServiceId service, RouteId route) {}

    VersionResultCounter(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Starts an attempt.
     *
     * @param service the service that is called
     * @param version the version of the endpoint
     * @param route the route of the request
     * @param isWarm whether the endpoint is warm; only then is the time of the attempt compared
     * @param isReference whether the attempt shows what is usual on its route, which those to a
     *     canary version do not
     */
    Attempt start(
            ServiceId service,
            VersionId version,
            RouteId route,
            boolean isWarm,
            boolean isReference) {
        Attempt attempt =
                new Attempt(
                        new Version(service, version),
                        usualTimes.computeIfAbsent(
                                new Route(service, route), key -> new UsualTimes()),
                        isWarm,
                        isReference);
        inProgress.add(attempt);
        return attempt;
    }

    List<VersionCounts> snapshot() {
        Map<Version, VersionCounts.Builder> totals = new HashMap<>();
        counts.forEach((version, total) -> totals.put(version, total.clone()));
        for (Attempt attempt : inProgress) {
            if (attempt.isSlow()) {
                addTimed(totalOf(totals, attempt.version), true);
            }
        }
        List<VersionCounts> messages = new ArrayList<>();
        totals.values().forEach(total -> messages.add(total.build()));
        return messages;
    }

    private static VersionCounts.Builder totalOf(
            Map<Version, VersionCounts.Builder> totals, Version version) {
        return totals.computeIfAbsent(
                version,
                key ->
                        VersionCounts.newBuilder()
                                .setService(key.service().value())
                                .setVersion(key.version().value()));
    }

    private static void addTimed(VersionCounts.Builder total, boolean isSlow) {
        total.setTimed(total.getTimed() + 1);
        total.setSlow(total.getSlow() + (isSlow ? 1 : 0));
    }

    /** Averages the recent times of a route. */
    private static final class UsualTimes {

        private static final double SMOOTHING = 0.1;

        /** Number of responses without which a time is not usual. */
        private static final int MIN_RESPONSES = 3;

        private double firstByteMs;
        private double totalMs;
        private int responses;

        void record(long responseFirstByteMs, long responseTotalMs) {
            responses++;
            double weight = Math.max(SMOOTHING, 1.0 / responses);
            firstByteMs += weight * (responseFirstByteMs - firstByteMs);
            totalMs += weight * (responseTotalMs - totalMs);
        }

        boolean isKnown() {
            return responses >= MIN_RESPONSES;
        }
    }

    /** Measures one attempt until it ends, in one of the ways that its methods stand for. */
    final class Attempt {

        private static final long NO_FIRST_BYTE = -1;

        private final Version version;
        private final UsualTimes usual;
        private final boolean isWarm;
        private final boolean isReference;
        private final long startedMs = timeSource.monotonicMs();
        private long firstByteMs = NO_FIRST_BYTE;

        private Attempt(Version version, UsualTimes usual, boolean isWarm, boolean isReference) {
            this.version = version;
            this.usual = usual;
            this.isWarm = isWarm;
            this.isReference = isReference;
        }

        /** Records the first byte of the response. */
        void recordFirstByte() {
            firstByteMs = elapsedMs();
        }

        /** Records a complete response or a failure of the endpoint. */
        void recordResult(boolean isFailure) {
            if (!inProgress.remove(this)) {
                return;
            }
            VersionCounts.Builder total = totalOf(counts, version);
            total.setAnswers(total.getAnswers() + 1);
            total.setFailures(total.getFailures() + (isFailure ? 1 : 0));
            total.setTotalMs(total.getTotalMs() + elapsedMs());
            if (isSlow()) {
                addTimed(total, true);
            } else if (isWarm && !isFailure && usual.isKnown()) {
                addTimed(total, false);
            }
            if (isReference && isWarm && !isFailure && firstByteMs != NO_FIRST_BYTE) {
                usual.record(firstByteMs, elapsedMs());
            }
        }

        /**
         * Records that the attempt ended without a result, for example because the client left or
         * the endpoint did not run it. It counts only if it was slow by then.
         */
        void recordNoResult() {
            if (inProgress.remove(this) && isSlow()) {
                addTimed(totalOf(counts, version), true);
            }
        }

        private boolean isSlow() {
            if (!isWarm || !usual.isKnown()) {
                return false;
            }
            long elapsedMs = elapsedMs();
            long untilFirstByteMs = firstByteMs == NO_FIRST_BYTE ? elapsedMs : firstByteMs;
            return exceeds(untilFirstByteMs, usual.firstByteMs)
                    || exceeds(elapsedMs, usual.totalMs);
        }

        private boolean exceeds(long timeMs, double usualMs) {
            return timeMs > SLOW_FACTOR * usualMs + SLOW_MARGIN_MS;
        }

        private long elapsedMs() {
            return timeSource.monotonicMs() - startedMs;
        }
    }
}
