package org.cardamomthread.membership.home;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;

/**
 * Accounts for the credits of one endpoint.
 *
 * <p>Invariant: a grant never raises the sum of all gateways' maximum requests in flight and the
 * orphaned requests above the concurrency limit of the endpoint. The sum exceeds the limit only
 * after the limit was reduced, until the leases granted before have expired. Not thread-safe; the
 * owning home synchronizes access.
 */
final class EndpointLedger {

    private final int handle;
    private final HomeSettings settings;
    private final HomeOwnership ownership;
    private final AnnouncementAgeEstimator ageEstimator = new AnnouncementAgeEstimator();
    private final Map<NodeId, GatewayAccount> accounts = new HashMap<>();
    private final OrphanedRequests orphanedRequests;
    private EndpointDescription description;
    private int descriptionSequence;

    /** The acquisition time of the ownership for which inherited requests were last counted. */
    private long inheritedCountedAcquisitionMs = Long.MIN_VALUE;

    EndpointLedger(int handle, HomeSettings settings) {
        this.handle = handle;
        this.settings = settings;
        this.ownership = new HomeOwnership(settings);
        this.orphanedRequests = new OrphanedRequests(settings);
    }

    /** Processes an announcement that is newer than all previous ones of the endpoint. */
    void onAnnouncement(EndpointAnnouncement announcement, long nowMs) {
        if (!announcement.description().equals(description)) {
            description = announcement.description();
            descriptionSequence++;
        }
        long ageMs = ageEstimator.observe(announcement.load().measuredAtMs(), nowMs);
        if (ageMs > settings.maxAnnouncementAgeMs()) {
            return;
        }
        ownership.onAnnouncement(announcement, nowMs);
        long madeMs = nowMs - ageMs - settings.maxFastestDelayMs();
        int inFlight = announcement.load().inFlight();
        if (ownership.isOwner(nowMs) && !areInheritedRequestsCounted()) {
            countInheritedRequests(inFlight, madeMs, nowMs);
        }
        orphanedRequests.onEndpointReport(inFlight, madeMs, nowMs, accounts);
    }

    /**
     * Counts the requests in flight under grants of previous homes, once the report was made after
     * the last of them could start.
     */
    private void countInheritedRequests(int inFlight, long madeMs, long nowMs) {
        if (madeMs >= ownership.acquiredMs() + settings.maxCountSkewMs()) {
            orphanedRequests.add(inFlight, nowMs);
            inheritedCountedAcquisitionMs = ownership.acquiredMs();
        }
    }

    private boolean areInheritedRequestsCounted() {
        return inheritedCountedAcquisitionMs == ownership.acquiredMs();
    }

    /** Returns whether this node may grant credits now. */
    boolean mayGrant(long nowMs) {
        return ownership.isOwner(nowMs) && areInheritedRequestsCounted();
    }

    GatewayAccount account(NodeId gateway) {
        return accounts.computeIfAbsent(gateway, key -> new GatewayAccount());
    }

    void recordCounts(NodeId gateway, RequestCounts counts, long earliestSendMs, long nowMs) {
        account(gateway).recordCounts(counts.started(), counts.finished(), nowMs);
        orphanedRequests.onGatewayDemand(gateway, counts.finished(), earliestSendMs);
    }

    void markIdle(NodeId gateway) {
        GatewayAccount account = accounts.get(gateway);
        if (account != null) {
            account.markIdle();
        }
    }

    void closeGrants(NodeId gateway, long closedSequence) {
        GatewayAccount account = accounts.get(gateway);
        if (account != null) {
            account.closeGrants(closedSequence);
        }
    }

    /** Removes a gateway and counts the requests that it may have in flight as orphaned. */
    void orphanRequestsOf(NodeId gateway, long nowMs) {
        GatewayAccount account = accounts.remove(gateway);
        orphanedRequests.removeGateway(gateway);
        if (account != null) {
            orphanedRequests.add(account.maxInFlight(), nowMs);
        }
    }

    /**
     * Grants a gateway its fair share, limited to the capacity that the other gateways leave.
     *
     * @param concurrencyLimit the requests that may be in flight at the endpoint, of all gateways
     * @return the requests that the gateway may have in flight
     */
    int grant(NodeId gateway, long demandSequence, int concurrencyLimit, long nowMs) {
        GatewayAccount account = account(gateway);
        int capacity = Math.max(0, concurrencyLimit - orphanedRequests.count(nowMs));
        int maxInFlightOfOtherGateways = 0;
        for (GatewayAccount other : accounts.values()) {
            maxInFlightOfOtherGateways += other == account ? 0 : other.maxInFlight();
        }
        int availableCapacity = Math.max(0, capacity - maxInFlightOfOtherGateways);
        int share = FairShare.shareOf(account, accounts.values(), capacity);
        int limit = Math.min(share, availableCapacity);
        account.recordGrant(demandSequence, limit, nowMs);
        return limit;
    }

    /** Returns the most requests that may be in flight, by the open grants and reported counts. */
    int maxInFlight(long nowMs) {
        int sum = orphanedRequests.count(nowMs);
        for (GatewayAccount account : accounts.values()) {
            sum += account.maxInFlight();
        }
        return sum;
    }

    int orphanedRequestCount(long nowMs) {
        return orphanedRequests.count(nowMs);
    }

    int handle() {
        return handle;
    }

    int descriptionSequence() {
        return descriptionSequence;
    }
}
