package org.cardamomthread.daemon.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cardamomthread.configuration.declaration.EndpointClass;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.generated.ObservationMessage;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.home.AnnouncementListener;
import org.cardamomthread.membership.home.ConcurrencyLimitPolicy;
import org.cardamomthread.membership.home.HomeEndpointStatus;
import org.cardamomthread.policy.admission.EndpointClassLimits;
import org.cardamomthread.policy.admission.SlowStart;

/**
 * Limits the concurrent requests of endpoints by slow start. The limit is the cold limit of the
 * endpoint's class after a start and whenever the endpoint reports or shows that it is cold; it
 * rises as first tokens arrive in time. It is zero while the endpoint is leaving, is withdrawn or
 * serves only stopped versions.
 *
 * <p>Thread-safe.
 */
public final class SlowStartConcurrencyLimits
        implements ConcurrencyLimitPolicy, AnnouncementListener {

    private static final EndpointClassLimits UNDECLARED_CLASS_LIMITS =
            new EndpointClassLimits(1, 1, 0);
    private static final long SILENT_ENDPOINT_RETENTION_MS = 600_000;

    private final ConfigurationHolder configuration;
    private final Predicate<EndpointAnnouncement> isWithdrawn;
    private final TimeSource timeSource;
    private final Map<EndpointId, TrackedEndpoint> trackedEndpoints = new HashMap<>();

    /** The slow start of one endpoint. */
    private static final class TrackedEndpoint {

        private final EndpointClassLimits limits;
        private final SlowStart slowStart;
        private long incarnation;
        private long lastAnnouncementMs;

        TrackedEndpoint(EndpointClassLimits limits, long nowMs) {
            this.limits = limits;
            this.slowStart = new SlowStart(limits, nowMs);
        }
    }

    /**
     * Creates the limits; no endpoint is tracked yet.
     *
     * @param configuration the active configuration
     * @param isWithdrawn returns whether an endpoint must get no new work for an external reason,
     *     such as a drain of its data centre or a reclaim notice
     * @param timeSource the node's clock
     */
    public SlowStartConcurrencyLimits(
            ConfigurationHolder configuration,
            Predicate<EndpointAnnouncement> isWithdrawn,
            TimeSource timeSource) {
        this.configuration = configuration;
        this.isWithdrawn = isWithdrawn;
        this.timeSource = timeSource;
    }

    @Override
    public synchronized void onAnnouncement(EndpointAnnouncement announcement) {
        long nowMs = timeSource.monotonicMs();
        TrackedEndpoint tracked = getOrCreateTracked(announcement, nowMs);
        EndpointState state = announcement.description().state();
        boolean isCold = state == EndpointState.COLD || state == EndpointState.STARTING;
        tracked.incarnation = announcement.incarnation();
        tracked.lastAnnouncementMs = nowMs;
        tracked.slowStart.onAnnouncement(
                announcement.incarnation(), announcement.load().concurrencyLimit(), isCold, nowMs);
    }

    /**
     * Processes a gateway's observation of an attempt; ignores it if the endpoint is unknown or has
     * restarted since.
     *
     * @param observation the outcome of the attempt
     */
    public synchronized void recordObservation(ObservationMessage observation) {
        TrackedEndpoint tracked = trackedEndpoints.get(new EndpointId(observation.getEndpointId()));
        if (tracked == null || tracked.incarnation != observation.getIncarnation()) {
            return;
        }
        long nowMs = timeSource.monotonicMs();
        long sentAtMs = nowMs - observation.getSentAgoMs();
        if (observation.getOverloaded()) {
            tracked.slowStart.onOverload(sentAtMs, nowMs);
        } else if (observation.getFirstByteMs() > 0) {
            tracked.slowStart.onFirstToken(
                    observation.getFirstByteMs(),
                    observation.getExpectedMs(),
                    observation.getInFlight(),
                    sentAtMs,
                    nowMs);
        }
    }

    @Override
    public synchronized int concurrencyLimit(HomeEndpointStatus endpoint) {
        EndpointAnnouncement announcement = endpoint.announcement();
        EndpointDescription description = announcement.description();
        if (!description.state().acceptsRequests()
                || isWithdrawn.test(announcement)
                || areAllVersionsStopped(description, configuration.getView())) {
            return 0;
        }
        return getOrCreateTracked(announcement, timeSource.monotonicMs()).slowStart.limit();
    }

    /**
     * Removes the endpoints that have sent no announcement for {@value
     * #SILENT_ENDPOINT_RETENTION_MS} ms.
     */
    public synchronized void removeSilentEndpoints() {
        long nowMs = timeSource.monotonicMs();
        trackedEndpoints
                .values()
                .removeIf(
                        tracked ->
                                nowMs - tracked.lastAnnouncementMs > SILENT_ENDPOINT_RETENTION_MS);
    }

    private TrackedEndpoint getOrCreateTracked(EndpointAnnouncement announcement, long nowMs) {
        EndpointClassLimits limits = findLimits(announcement);
        TrackedEndpoint tracked = trackedEndpoints.get(announcement.endpoint());
        if (tracked == null || !tracked.limits.equals(limits)) {
            tracked = new TrackedEndpoint(limits, nowMs);
            trackedEndpoints.put(announcement.endpoint(), tracked);
        }
        return tracked;
    }

    private EndpointClassLimits findLimits(EndpointAnnouncement announcement) {
        Optional<EndpointClass> endpointClass =
                configuration
                        .getDeclarations()
                        .findEndpointClass(announcement.description().endpointClass());
        return endpointClass
                .map(SlowStartConcurrencyLimits::toLimits)
                .orElse(UNDECLARED_CLASS_LIMITS);
    }

    private static EndpointClassLimits toLimits(EndpointClass endpointClass) {
        return new EndpointClassLimits(
                endpointClass.coldConcurrency(),
                endpointClass.warmConcurrency(),
                endpointClass.warmUpMs());
    }

    private static boolean areAllVersionsStopped(
            EndpointDescription description, ConfigurationView view) {
        return !description.services().isEmpty()
                && description.services().stream()
                        .allMatch(served -> view.isStopped(served.service(), served.version()));
    }
}
