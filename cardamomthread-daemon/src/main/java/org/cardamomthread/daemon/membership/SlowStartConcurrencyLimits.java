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
import org.cardamomthread.membership.home.BearableRequests;
import org.cardamomthread.membership.home.EndpointStatus;
import org.cardamomthread.policy.admission.ClassLimits;
import org.cardamomthread.policy.admission.SlowStart;

/**
 * Judges what endpoints bear: the cold bound of their class after a start or whenever one says or
 * shows that it is cold, more as first tokens come in time, nothing while an endpoint leaves, is
 * withdrawn or all its versions were stopped.
 *
 * <p>Safe for use by several threads.
 */
public final class SlowStartConcurrencyLimits implements BearableRequests, AnnouncementListener {

    private static final ClassLimits UNDECLARED_CLASS_LIMITS = new ClassLimits(1, 1, 0);
    private static final long SILENT_ENDPOINT_RETENTION_MS = 600_000;

    private final ConfigurationHolder configuration;
    private final Predicate<EndpointAnnouncement> isWithdrawn;
    private final TimeSource timeSource;
    private final Map<EndpointId, TrackedEndpoint> trackedEndpoints = new HashMap<>();

    /** Follows one endpoint. */
    private static final class TrackedEndpoint {

        private final ClassLimits limits;
        private final SlowStart slowStart;
        private long incarnation;
        private long lastAnnouncementMs;

        TrackedEndpoint(ClassLimits limits, long nowMs) {
            this.limits = limits;
            this.slowStart = new SlowStart(limits, nowMs);
        }
    }

    /**
     * Creates the judgement.
     *
     * @param configuration the configuration in force
     * @param isWithdrawn tells whether an endpoint must get no new work for a reason outside it,
     *     such as a drain of its data centre or a notice of reclaim
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
    public synchronized void accepted(EndpointAnnouncement announcement) {
        long nowMs = timeSource.monotonicMs();
        TrackedEndpoint entry = getOrCreateTracked(announcement, nowMs);
        EndpointState state = announcement.description().state();
        boolean isCold = state == EndpointState.COLD || state == EndpointState.STARTING;
        entry.incarnation = announcement.incarnation();
        entry.lastAnnouncementMs = nowMs;
        entry.slowStart.onAnnouncement(
                announcement.incarnation(), announcement.load().bearableRequests(), isCold, nowMs);
    }

    /**
     * Takes what a gateway saw of an attempt.
     *
     * @param observation the attempt
     */
    public synchronized void recordObservation(ObservationMessage observation) {
        TrackedEndpoint entry = trackedEndpoints.get(new EndpointId(observation.getEndpointId()));
        if (entry == null || entry.incarnation != observation.getIncarnation()) {
            return;
        }
        long nowMs = timeSource.monotonicMs();
        long sentAtMs = nowMs - observation.getSentAgoMs();
        if (observation.getOverloaded()) {
            entry.slowStart.onOverload(sentAtMs, nowMs);
        } else if (observation.getFirstByteMs() > 0) {
            entry.slowStart.onFirstToken(
                    observation.getFirstByteMs(),
                    observation.getExpectedMs(),
                    observation.getInFlight(),
                    sentAtMs,
                    nowMs);
        }
    }

    @Override
    public synchronized int bearable(EndpointStatus endpoint) {
        EndpointAnnouncement announcement = endpoint.announcement();
        EndpointDescription description = announcement.description();
        if (!description.state().takesRequests()
                || isWithdrawn.test(announcement)
                || areAllVersionsStopped(description, configuration.getView())) {
            return 0;
        }
        return getOrCreateTracked(announcement, timeSource.monotonicMs()).slowStart.limit();
    }

    /** Forgets the endpoints that have long been silent. */
    public synchronized void removeSilentEndpoints() {
        long nowMs = timeSource.monotonicMs();
        trackedEndpoints
                .values()
                .removeIf(entry -> nowMs - entry.lastAnnouncementMs > SILENT_ENDPOINT_RETENTION_MS);
    }

    private TrackedEndpoint getOrCreateTracked(EndpointAnnouncement announcement, long nowMs) {
        ClassLimits limits = findLimits(announcement);
        TrackedEndpoint entry = trackedEndpoints.get(announcement.endpoint());
        if (entry == null || !entry.limits.equals(limits)) {
            entry = new TrackedEndpoint(limits, nowMs);
            trackedEndpoints.put(announcement.endpoint(), entry);
        }
        return entry;
    }

    private ClassLimits findLimits(EndpointAnnouncement announcement) {
        Optional<EndpointClass> declared =
                configuration
                        .getDeclarations()
                        .findEndpointClass(announcement.description().endpointClass());
        return declared.map(SlowStartConcurrencyLimits::toLimits).orElse(UNDECLARED_CLASS_LIMITS);
    }

    private static ClassLimits toLimits(EndpointClass declared) {
        return new ClassLimits(
                declared.coldConcurrency(), declared.warmConcurrency(), declared.warmUpMs());
    }

    private static boolean areAllVersionsStopped(
            EndpointDescription description, ConfigurationView view) {
        return !description.services().isEmpty()
                && description.services().stream()
                        .allMatch(served -> view.isStopped(served.service(), served.version()));
    }
}
