package org.cardamomthread.daemon.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Keeps the newest report of each endpoint, and counts the changes that gateways must learn.
 *
 * <p>Invariants: of one start of an endpoint a later report replaces an earlier one only; an
 * endpoint that is leaving stays so until it starts anew; an address belongs to the endpoint that
 * was started last. Used by one thread at a time.
 */
public final class EndpointRegistry {

    /** Reports may be seconds late on the platforms known; a silent endpoint is then kept out. */
    static final long REPORT_TIMEOUT_MS = 6_000;

    /** How long an end is remembered, so that a late report does not bring the endpoint back. */
    static final long RETENTION_MS = 120_000;

    private static final long COLD_TOLERANCE_MS = 500;

    private final TimeSource timeSource;
    private final Map<EndpointId, RegisteredEndpoint> endpoints = new HashMap<>();
    private final Map<NetworkAddress, EndpointId> addressOwners = new HashMap<>();
    private final Map<EndpointId, Tombstone> tombstones = new HashMap<>();
    private long revision = 1;

    /** Holds the end of starts that had not reported; later starts have been born after it. */
    private record Tombstone(long startedUntilMs, long recordedMs) {}

    /**
     * Creates an empty register.
     *
     * @param timeSource the clock
     */
    public EndpointRegistry(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Takes a report in.
     *
     * @param received the report
     * @return the entry in force, or empty if the report was older than what is known
     */
    public Optional<RegisteredEndpoint> accept(EndpointReport received) {
        RegisteredEndpoint known = endpoints.get(received.id());
        if (known != null && isOutdated(received, known) || hasTombstone(received)) {
            return Optional.empty();
        }
        if (!claimAddress(received)) {
            return Optional.empty();
        }
        boolean isSameStart =
                known != null && known.report().startTimeMs() == received.startTimeMs();
        EndpointReport report =
                isSameStart && known.report().isDraining() ? received.asDraining() : received;
        long nowMs = timeSource.monotonicMs();
        RegisteredEndpoint entry =
                new RegisteredEndpoint(report, false, false, nowMs, nowMs + report.coldMs(), 0);
        boolean isChange = known == null || known.isTimedOut() || hasChanged(known, entry);
        entry = entry.withRevision(isChange ? ++revision : known.revision());
        endpoints.put(report.id(), entry);
        return Optional.of(entry);
    }

    /**
     * Takes in that an endpoint ends. The end of a start that has not reported is remembered, as
     * its reports may come late.
     *
     * @param endpoint the endpoint
     * @param bornMs which start is meant, in milliseconds since 1970, 0 for the one that is known
     * @return the entry that has ended, or empty if that start is not known
     */
    public Optional<RegisteredEndpoint> remove(EndpointId endpoint, long bornMs) {
        RegisteredEndpoint known = endpoints.get(endpoint);
        boolean isMeant = known != null && (bornMs == 0 || bornMs >= known.report().startTimeMs());
        boolean isUnheardStart = known == null || bornMs > known.report().startTimeMs();
        if (isUnheardStart) {
            long bornUntilMs = bornMs == 0 ? timeSource.millis() : bornMs;
            tombstones.put(endpoint, new Tombstone(bornUntilMs, timeSource.monotonicMs()));
        }
        if (!isMeant) {
            return Optional.empty();
        }
        if (!known.isRemoved()) {
            known = known.asRemoved(timeSource.monotonicMs(), ++revision);
            endpoints.put(endpoint, known);
        }
        return Optional.of(known);
    }

    /** Marks endpoints that have fallen silent, and forgets those not heard of for long. */
    public void expire() {
        long nowMs = timeSource.monotonicMs();
        tombstones.values().removeIf(end -> nowMs - end.recordedMs() > RETENTION_MS);
        for (RegisteredEndpoint entry : List.copyOf(endpoints.values())) {
            long silenceMs = nowMs - entry.receivedMs();
            if (silenceMs > RETENTION_MS) {
                addressOwners.remove(entry.report().address(), entry.report().id());
                endpoints.remove(entry.report().id());
            } else if (silenceMs > REPORT_TIMEOUT_MS && !entry.isTimedOut() && !entry.isRemoved()) {
                endpoints.put(entry.report().id(), entry.asTimedOut(++revision));
            }
        }
    }

    /**
     * Returns the number of the last change.
     *
     * @return the revision, rising from 1
     */
    public long revision() {
        return revision;
    }

    /**
     * Lists the endpoints that gateways may know: heard of lately and not ended.
     *
     * @return the entries, in no order
     */
    public Collection<RegisteredEndpoint> listPresent() {
        return endpoints.values().stream().filter(RegisteredEndpoint::isPresent).toList();
    }

    /**
     * Lists the entries that have changed.
     *
     * @param since a revision of this register
     * @return the entries with later changes, present or not
     */
    public Collection<RegisteredEndpoint> listChangedSince(long since) {
        return endpoints.values().stream().filter(entry -> entry.revision() > since).toList();
    }

    private boolean hasTombstone(EndpointReport received) {
        Tombstone end = tombstones.get(received.id());
        return end != null && received.startTimeMs() <= end.startedUntilMs();
    }

    private static boolean isOutdated(EndpointReport received, RegisteredEndpoint known) {
        EndpointReport report = known.report();
        if (received.startTimeMs() != report.startTimeMs()) {
            return received.startTimeMs() < report.startTimeMs();
        }
        return known.isRemoved() || received.sequence() < report.sequence();
    }

    /** Gives the address to the endpoint started last; tells whether the report may be kept. */
    private boolean claimAddress(EndpointReport received) {
        EndpointId owner = addressOwners.get(received.address());
        RegisteredEndpoint other = owner == null ? null : endpoints.get(owner);
        if (other != null && !owner.equals(received.id()) && !other.isRemoved()) {
            if (other.report().startTimeMs() > received.startTimeMs()) {
                return false;
            }
            remove(owner, 0);
        }
        addressOwners.put(received.address(), received.id());
        return true;
    }

    private static boolean hasChanged(RegisteredEndpoint known, RegisteredEndpoint entry) {
        EndpointReport before = known.report();
        EndpointReport after = entry.report();
        return before.startTimeMs() != after.startTimeMs()
                || before.isDraining() != after.isDraining()
                || before.slots() != after.slots()
                || !before.address().equals(after.address())
                || !before.service().equals(after.service())
                || !before.version().equals(after.version())
                || !before.dataCentre().equals(after.dataCentre())
                || Math.abs(known.coldUntilMs() - entry.coldUntilMs()) > COLD_TOLERANCE_MS
                        && Math.max(known.coldUntilMs(), entry.coldUntilMs()) > entry.receivedMs();
    }
}
