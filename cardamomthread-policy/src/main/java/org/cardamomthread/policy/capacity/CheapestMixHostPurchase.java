package org.cardamomthread.policy.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Starts the cheapest hosts that keep within the risk limits, and releases the dearest ones that
 * are not needed.
 *
 * <p>Invariants: never more starts than the weight store permits transfers; no start in a drained
 * data centre or during a pause after a refusal; the reclaimable hosts of one data centre stay
 * within their share unless nothing else can be had; a release never takes the capacity below the
 * need plus the reserve. Immutable apart from the refusals, which it only reads; safe for use by
 * several threads.
 */
public final class CheapestMixHostPurchase implements HostPurchase {

    private static final double RELEASE_RESERVE = 1.2; // times the need

    private static final Comparator<HostOffer> BY_PRICE =
            Comparator.comparingDouble(HostOffer::effectivePrice);

    private final PurchaseLimits limits;
    private final RefusalBackoff refusals;

    /**
     * Creates a decision.
     *
     * @param limits the risk that purchases may take
     * @param refusals refused starts
     */
    public CheapestMixHostPurchase(PurchaseLimits limits, RefusalBackoff refusals) {
        this.limits = Objects.requireNonNull(limits, "limits must be given");
        this.refusals = Objects.requireNonNull(refusals, "refusals must be given");
    }

    @Override
    public PurchaseDecision decide(FleetView fleet, List<HostOffer> offers, long nowMs) {
        Plan plan = new Plan(fleet, offers);
        List<HostOffer.Kind> starts = new ArrayList<>();
        while (plan.missing() > 0 && starts.size() < fleet.transfersPermitted()) {
            HostOffer next = nextStart(plan, offers, fleet, nowMs);
            if (next == null) {
                break;
            }
            plan.add(next);
            starts.add(next.kind());
        }
        List<HostOffer.Kind> releases = starts.isEmpty() ? releases(plan, offers) : List.of();
        return new PurchaseDecision(starts, releases, Math.max(0, plan.missing()));
    }

    private HostOffer nextStart(Plan plan, List<HostOffer> offers, FleetView fleet, long nowMs) {
        List<HostOffer> possible =
                offers.stream()
                        .filter(offer -> !fleet.drained().contains(offer.kind().dataCentre()))
                        .filter(offer -> refusals.mayAsk(offer.kind(), nowMs))
                        .sorted(BY_PRICE)
                        .toList();
        boolean needsOnDemand =
                plan.onDemandRequests() < limits.onDemandShare() * fleet.neededRequests();
        for (HostOffer offer : possible) {
            boolean reclaimable = FleetView.isReclaimable(offer.kind());
            if (!reclaimable || (!needsOnDemand && plan.keepsShare(offer, limits))) {
                return offer;
            }
        }
        return possible.isEmpty() ? null : possible.get(0);
    }

    private List<HostOffer.Kind> releases(Plan plan, List<HostOffer> offers) {
        List<HostOffer.Kind> releases = new ArrayList<>();
        List<HostOffer> dearestFirst = offers.stream().sorted(BY_PRICE.reversed()).toList();
        for (HostOffer offer : dearestFirst) {
            while (plan.canRelease(offer, limits)) {
                plan.remove(offer);
                releases.add(offer.kind());
            }
        }
        return releases;
    }

    /** Counts the capacity while hosts are added and removed. */
    private static final class Plan {

        private final FleetView fleet;
        private final Map<HostOffer.Kind, Integer> hosts;
        private final Map<DataCentreId, Integer> reclaimableRequests = new HashMap<>();
        private int requests;
        private int onDemandRequests;

        Plan(FleetView fleet, List<HostOffer> offers) {
            this.fleet = fleet;
            this.hosts = new HashMap<>(fleet.hosts());
            for (HostOffer offer : offers) {
                count(offer, fleet.hosts(offer.kind()));
            }
        }

        int missing() {
            return fleet.neededRequests() - requests;
        }

        int onDemandRequests() {
            return onDemandRequests;
        }

        void add(HostOffer offer) {
            hosts.merge(offer.kind(), 1, Integer::sum);
            count(offer, 1);
        }

        void remove(HostOffer offer) {
            hosts.merge(offer.kind(), -1, Integer::sum);
            count(offer, -1);
        }

        boolean keepsShare(HostOffer offer, PurchaseLimits limits) {
            int there = reclaimableRequests.getOrDefault(offer.kind().dataCentre(), 0);
            double most = limits.reclaimableShareOfDataCentre() * fleet.neededRequests();
            return there == 0 || there + offer.bearableRequests() <= most;
        }

        boolean canRelease(HostOffer offer, PurchaseLimits limits) {
            int left = requests - offer.bearableRequests();
            boolean keepsOnDemand =
                    FleetView.isReclaimable(offer.kind())
                            || onDemandRequests - offer.bearableRequests()
                                    >= limits.onDemandShare() * fleet.neededRequests();
            return hosts.getOrDefault(offer.kind(), 0) > 0
                    && left >= RELEASE_RESERVE * fleet.neededRequests()
                    && keepsOnDemand;
        }

        private void count(HostOffer offer, int added) {
            int addedRequests = added * offer.bearableRequests();
            requests += addedRequests;
            if (FleetView.isReclaimable(offer.kind())) {
                reclaimableRequests.merge(offer.kind().dataCentre(), addedRequests, Integer::sum);
            } else {
                onDemandRequests += addedRequests;
            }
        }
    }
}
