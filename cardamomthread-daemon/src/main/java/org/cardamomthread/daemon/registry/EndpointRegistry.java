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
 * Stores the newest report of each endpoint and numbers the changes that gateways must receive.
 *
 * <p>Invariants: within one incarnation of an endpoint, a report replaces only earlier ones. A
 * draining endpoint remains draining until it restarts. An address belongs to the endpoint that was
 * started last. Not thread-safe.
 */
public final class EndpointRegistry {

    /**
     * Time without a report after which an endpoint is no longer offered to gateways; reports may
     * be delayed by seconds on the known platforms.
     */
    static final long REPORT_TIMEOUT_MS = 6_000;

    /**
     * Time for which a removal is remembered, so that a late report does not restore the endpoint.
     */
    static final long RETENTION_MS = 120_000;

    /**
     * Time by which the start of an endpoint may lie ahead of the clock of this host; no clocks
     * differ by more.
     */
    static final long MAX_START_AHEAD_MS = 3_600_000;

    /** Difference up to which a new end of the cold time does not count as a change. */
    private static final long COLD_TOLERANCE_MS = 500;

    private final TimeSource timeSource;
    private final Map<EndpointId, RegisteredEndpoint> endpoints = new HashMap<>();
    private final Map<NetworkAddress, EndpointId> addressOwners = new HashMap<>();
    private final Map<EndpointId, Tombstone> tombstones = new HashMap<>();
    private long revision = 1;

    /**
     * Records the removal of incarnations that had not reported yet; later incarnations start after
     * {@code startedUntilMs}.
     */
    private record Tombstone(long startedUntilMs, long recordedMs) {}

    /**
     * Creates an empty registry.
     *
     * @param timeSource supplies monotonic and wall clock time
     */
    public EndpointRegistry(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Applies a report.
     *
     * @param received the report of an endpoint
     * @return the resulting entry, or empty if the report is outdated, or states a start that lies
     *     too far ahead, and was ignored
     */
    public Optional<RegisteredEndpoint> accept(EndpointReport received) {
        if (received.startTimeMs() > latestStartTimeMs()) {
            return Optional.empty();
        }
        RegisteredEndpoint known = endpoints.get(received.id());
        if (known != null && isOutdated(received, known) || hasTombstone(received)) {
            return Optional.empty();
        }
        if (!claimAddress(received)) {
            return Optional.empty();
        }
        boolean isSameIncarnation =
                known != null && known.report().startTimeMs() == received.startTimeMs();
        EndpointReport report =
                isSameIncarnation && known.report().isDraining() ? received.asDraining() : received;
        long nowMs = timeSource.monotonicMs();
        RegisteredEndpoint entry =
                new RegisteredEndpoint(report, false, false, nowMs, nowMs + report.coldMs(), 0);
        boolean isChange = known == null || known.isTimedOut() || hasChanged(known, entry);
        entry = entry.withRevision(isChange ? ++revision : known.revision());
        endpoints.put(report.id(), entry);
        return Optional.of(entry);
    }

    /**
     * Removes an endpoint. The removal of an incarnation that has not reported is remembered, since
     * its reports may arrive late.
     *
     * @param endpoint the endpoint that stops
     * @param startTimeMs the start time of the incarnation to remove, in milliseconds since 1970,
     *     or 0 for the known one
     * @return the removed entry, or empty if that incarnation is not known, or cannot have started
     */
    public Optional<RegisteredEndpoint> remove(EndpointId endpoint, long startTimeMs) {
        if (startTimeMs > latestStartTimeMs()) {
            return Optional.empty();
        }
        RegisteredEndpoint known = endpoints.get(endpoint);
        boolean matchesKnownStart =
                known != null && (startTimeMs == 0 || startTimeMs >= known.report().startTimeMs());
        boolean isUnreportedStart = known == null || startTimeMs > known.report().startTimeMs();
        if (isUnreportedStart) {
            long startedUntilMs = startTimeMs == 0 ? timeSource.millis() : startTimeMs;
            tombstones.put(endpoint, new Tombstone(startedUntilMs, timeSource.monotonicMs()));
        }
        if (!matchesKnownStart) {
            return Optional.empty();
        }
        if (!known.isRemoved()) {
            known = known.asRemoved(timeSource.monotonicMs(), ++revision);
            endpoints.put(endpoint, known);
        }
        return Optional.of(known);
    }

    /**
     * Marks an endpoint as draining, because it has stated this elsewhere than in its reports.
     * Later reports of the incarnation do not undo it.
     *
     * @param endpoint the endpoint
     * @param startTimeMs the start time of the incarnation, in milliseconds since 1970
     * @return false if nothing has changed, since that incarnation is not known, is gone, or drains
     */
    public boolean drain(EndpointId endpoint, long startTimeMs) {
        RegisteredEndpoint known = endpoints.get(endpoint);
        if (known == null
                || known.report().startTimeMs() != startTimeMs
                || known.isRemoved()
                || known.report().isDraining()) {
            return false;
        }
        endpoints.put(endpoint, known.asDraining(++revision));
        return true;
    }

    /**
     * Marks endpoints whose reports are overdue as timed out, and drops entries and removals after
     * the retention period.
     */
    public void expire() {
        long nowMs = timeSource.monotonicMs();
        tombstones.values().removeIf(tombstone -> nowMs - tombstone.recordedMs() > RETENTION_MS);
        for (RegisteredEndpoint entry : List.copyOf(endpoints.values())) {
            long sinceReportMs = nowMs - entry.receivedMs();
            if (sinceReportMs > RETENTION_MS) {
                addressOwners.remove(entry.report().address(), entry.report().id());
                endpoints.remove(entry.report().id());
            } else if (sinceReportMs > REPORT_TIMEOUT_MS
                    && !entry.isTimedOut()
                    && !entry.isRemoved()) {
                endpoints.put(entry.report().id(), entry.asTimedOut(++revision));
            }
        }
    }

    /**
     * Returns the latest start time that is taken for true. An endpoint with a later one would keep
     * its id and its address from all that start after it.
     *
     * @return the start time in milliseconds since 1970
     */
    public long latestStartTimeMs() {
        return timeSource.millis() + MAX_START_AHEAD_MS;
    }

    /**
     * Returns the revision of the last change.
     *
     * @return the revision, which starts at 1 and increases with each change
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the entry of an endpoint.
     *
     * @param endpoint the endpoint
     * @return its entry, which may be timed out or removed, or empty if it is not known
     */
    public Optional<RegisteredEndpoint> find(EndpointId endpoint) {
        return Optional.ofNullable(endpoints.get(endpoint));
    }

    /**
     * Returns the endpoints offered to gateways: neither timed out nor removed.
     *
     * @return the entries, in no particular order
     */
    public Collection<RegisteredEndpoint> listPresent() {
        return endpoints.values().stream().filter(RegisteredEndpoint::isPresent).toList();
    }

    /**
     * Returns the entries that changed after a revision.
     *
     * @param sinceRevision a revision of this registry
     * @return the changed entries, including those that are timed out or removed
     */
    public Collection<RegisteredEndpoint> listChangedSince(long sinceRevision) {
        return endpoints.values().stream()
                .filter(entry -> entry.revision() > sinceRevision)
                .toList();
    }

    private boolean hasTombstone(EndpointReport received) {
        Tombstone tombstone = tombstones.get(received.id());
        return tombstone != null && received.startTimeMs() <= tombstone.startedUntilMs();
    }

    private static boolean isOutdated(EndpointReport received, RegisteredEndpoint known) {
        EndpointReport report = known.report();
        if (received.startTimeMs() != report.startTimeMs()) {
            return received.startTimeMs() < report.startTimeMs();
        }
        return known.isRemoved() || received.sequence() < report.sequence();
    }

    /**
     * Assigns the address to the endpoint that was started last; returns false if another endpoint
     * with a later start owns it.
     */
    private boolean claimAddress(EndpointReport received) {
        EndpointId owner = addressOwners.get(received.address());
        RegisteredEndpoint otherEntry = owner == null ? null : endpoints.get(owner);
        if (otherEntry != null && !owner.equals(received.id()) && !otherEntry.isRemoved()) {
            if (otherEntry.report().startTimeMs() > received.startTimeMs()) {
                return false;
            }
            remove(owner, 0);
        }
        addressOwners.put(received.address(), received.id());
        return true;
    }

    private static boolean hasChanged(RegisteredEndpoint known, RegisteredEndpoint entry) {
        EndpointReport previous = known.report();
        EndpointReport current = entry.report();
        return previous.startTimeMs() != current.startTimeMs()
                || previous.isDraining() != current.isDraining()
                || previous.slots() != current.slots()
                || !previous.address().equals(current.address())
                || !previous.service().equals(current.service())
                || !previous.version().equals(current.version())
                || !previous.dataCentre().equals(current.dataCentre())
                || Math.abs(known.coldUntilMs() - entry.coldUntilMs()) > COLD_TOLERANCE_MS
                        && Math.max(known.coldUntilMs(), entry.coldUntilMs()) > entry.receivedMs();
    }
}
