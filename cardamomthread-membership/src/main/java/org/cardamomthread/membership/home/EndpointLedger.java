package org.cardamomthread.membership.home;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;

/**
 * Accounts for the credits of one endpoint.
 *
 * <p>Invariant: each grant keeps the sum of all gateways' bounds and the orphan reserve at or below
 * what the endpoint bears; the sum exceeds it only after what the endpoint bears has fallen, until
 * the leases granted before have run out. Not safe for use by several threads; the ledger guards
 * it.
 */
final class EndpointLedger {

    private final int handle;
    private final HomeSettings settings;
    private final HomeTenure tenure;
    private final AnnouncementAge age = new AnnouncementAge();
    private final Map<NodeId, GatewayAccount> accounts = new HashMap<>();
    private final OrphanReserve orphans;
    private EndpointDescription description;
    private int descriptionSequence;
    private long countedTenureMs = Long.MIN_VALUE;

    EndpointLedger(int handle, HomeSettings settings) {
        this.handle = handle;
        this.settings = settings;
        this.tenure = new HomeTenure(settings);
        this.orphans = new OrphanReserve(settings);
    }

    /** Takes an announcement that is newer than all before it. */
    void announce(EndpointAnnouncement announcement, long nowMs) {
        if (!announcement.description().equals(description)) {
            description = announcement.description();
            descriptionSequence++;
        }
        long ageMs = age.observe(announcement.load().atMs(), nowMs);
        if (ageMs > settings.announcementDelayMs()) {
            return;
        }
        tenure.observe(announcement, nowMs);
        long madeMs = nowMs - ageMs - settings.fastestDelayMs();
        int inFlight = announcement.load().inFlight();
        if (tenure.isHeld(nowMs) && !isCounted()) {
            countInherited(inFlight, madeMs, nowMs);
        }
        orphans.report(inFlight, madeMs, nowMs, accounts);
    }

    /** Counts what is in flight from earlier homes, once no more of it can be started. */
    private void countInherited(int inFlight, long madeMs, long nowMs) {
        if (madeMs >= tenure.acquiredMs() + settings.settleMs()) {
            orphans.add(inFlight, nowMs);
            countedTenureMs = tenure.acquiredMs();
        }
    }

    private boolean isCounted() {
        return countedTenureMs == tenure.acquiredMs();
    }

    /** Tells whether this node may grant credits now. */
    boolean isHeld(long nowMs) {
        return tenure.isHeld(nowMs) && isCounted();
    }

    GatewayAccount account(NodeId gateway) {
        return accounts.computeIfAbsent(gateway, key -> new GatewayAccount());
    }

    void report(NodeId gateway, GatewayCounts counts, long sentAfterMs, long nowMs) {
        account(gateway).report(counts.started(), counts.finished(), nowMs);
        orphans.demand(gateway, counts.finished(), sentAfterMs);
    }

    void clear(NodeId gateway) {
        GatewayAccount account = accounts.get(gateway);
        if (account != null) {
            account.clear();
        }
    }

    void close(NodeId gateway, long closedSequence) {
        GatewayAccount account = accounts.get(gateway);
        if (account != null) {
            account.close(closedSequence);
        }
    }

    /** Hands what a gateway may have in flight over to the reserve. */
    void orphan(NodeId gateway, long nowMs) {
        GatewayAccount account = accounts.remove(gateway);
        orphans.forget(gateway);
        if (account != null) {
            orphans.add(account.bound(), nowMs);
        }
    }

    /** Grants a gateway its share, within what the others leave. */
    int grant(NodeId gateway, long demandSequence, int bearable, long nowMs) {
        GatewayAccount account = account(gateway);
        int capacity = Math.max(0, bearable - orphans.count(nowMs));
        int others = 0;
        for (GatewayAccount other : accounts.values()) {
            others += other == account ? 0 : other.bound();
        }
        int available = Math.max(0, capacity - others);
        int share = FairShare.shareOf(account, accounts.values(), capacity);
        int limit = Math.min(share, available);
        account.grant(demandSequence, limit, nowMs);
        return limit;
    }

    /** Returns the most that may be in flight now by what was granted and reported. */
    int bound(long nowMs) {
        int sum = orphans.count(nowMs);
        for (GatewayAccount account : accounts.values()) {
            sum += account.bound();
        }
        return sum;
    }

    int orphanCount(long nowMs) {
        return orphans.count(nowMs);
    }

    int handle() {
        return handle;
    }

    int descriptionSequence() {
        return descriptionSequence;
    }
}
