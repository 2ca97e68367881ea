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
public final class SlowStartBearableRequests implements BearableRequests, AnnouncementListener {

    private static final ClassLimits UNDECLARED_CLASS = new ClassLimits(1, 1, 0);
    private static final long FORGET_AFTER_MS = 600_000;

    private final ConfigurationHolder configuration;
    private final Predicate<EndpointAnnouncement> isWithdrawn;
    private final TimeSource timeSource;
    private final Map<EndpointId, Entry> entries = new HashMap<>();

    /** Follows one endpoint. */
    private static final class Entry {

        private final ClassLimits limits;
        private final SlowStart slowStart;
        private long incarnation;
        private long heardAtMs;

        Entry(ClassLimits limits, long nowMs) {
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
    public SlowStartBearableRequests(
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
        Entry entry = findEntry(announcement, nowMs);
        EndpointState state = announcement.description().state();
        boolean isCold = state == EndpointState.COLD || state == EndpointState.STARTING;
        entry.incarnation = announcement.incarnation();
        entry.heardAtMs = nowMs;
        entry.slowStart.onAnnouncement(
                announcement.incarnation(), announcement.load().bearableRequests(), isCold, nowMs);
    }

    /**
     * Takes what a gateway saw of an attempt.
     *
     * @param observation the attempt
     */
    public synchronized void observe(ObservationMessage observation) {
        Entry entry = entries.get(new EndpointId(observation.getEndpointId()));
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
                || isStopped(description, configuration.getView())) {
            return 0;
        }
        return findEntry(announcement, timeSource.monotonicMs()).slowStart.limit();
    }

    /** Forgets the endpoints that have long been silent. */
    public synchronized void forgetSilent() {
        long nowMs = timeSource.monotonicMs();
        entries.values().removeIf(entry -> nowMs - entry.heardAtMs > FORGET_AFTER_MS);
    }

    private Entry findEntry(EndpointAnnouncement announcement, long nowMs) {
        ClassLimits limits = findLimits(announcement);
        Entry entry = entries.get(announcement.endpoint());
        if (entry == null || !entry.limits.equals(limits)) {
            entry = new Entry(limits, nowMs);
            entries.put(announcement.endpoint(), entry);
        }
        return entry;
    }

    private ClassLimits findLimits(EndpointAnnouncement announcement) {
        Optional<EndpointClass> declared =
                configuration
                        .getDeclarations()
                        .findEndpointClass(announcement.description().endpointClass());
        return declared.map(SlowStartBearableRequests::toLimits).orElse(UNDECLARED_CLASS);
    }

    private static ClassLimits toLimits(EndpointClass declared) {
        return new ClassLimits(
                declared.coldConcurrency(), declared.warmConcurrency(), declared.warmUpMs());
    }

    private static boolean isStopped(EndpointDescription description, ConfigurationView view) {
        return !description.services().isEmpty()
                && description.services().stream()
                        .allMatch(served -> view.isStopped(served.service(), served.version()));
    }
}
