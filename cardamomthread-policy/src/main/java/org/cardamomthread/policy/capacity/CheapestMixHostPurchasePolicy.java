package org.cardamomthread.policy.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Starts the cheapest hosts that the risk limits allow, and releases the most expensive ones that
 * are not needed.
 *
 * <p>Starts never exceed the weight transfers permitted by the store. No host is started in a data
 * centre being drained or during the backoff after a refusal. The reclaimable hosts of one data
 * centre stay within their share, unless nothing else is available. A release never reduces the
 * capacity below the required concurrency plus a reserve. Thread-safe: the only mutable state is
 * the {@link RefusalBackoff}, which is only read here.
 */
public final class CheapestMixHostPurchasePolicy implements HostPurchasePolicy {

    /** Multiple of the required concurrency that remains after a release. */
    private static final double RELEASE_HEADROOM_FACTOR = 1.2;

    private static final Comparator<HostOffer> BY_PRICE =
            Comparator.comparingDouble(HostOffer::effectivePricePerRequest);

    private final PurchaseLimits limits;
    private final RefusalBackoff refusals;

    /**
     * Creates a purchase policy.
     *
     * @param limits limits on the risk of the purchases
     * @param refusals backoff after refused starts
     */
    public CheapestMixHostPurchasePolicy(PurchaseLimits limits, RefusalBackoff refusals) {
        this.limits = Objects.requireNonNull(limits, "limits must not be null");
        this.refusals = Objects.requireNonNull(refusals, "refusals must not be null");
    }

    @Override
    public PurchaseDecision decide(FleetCapacity fleet, List<HostOffer> offers, long nowMs) {
        CapacityPlan plan = new CapacityPlan(fleet, offers);
        List<HostOffer.Kind> starts = new ArrayList<>();
        while (plan.missingConcurrency() > 0 && starts.size() < fleet.permittedTransfers()) {
            HostOffer next = selectNextStart(plan, offers, fleet, nowMs);
            if (next == null) {
                break;
            }
            plan.add(next);
            starts.add(next.kind());
        }
        List<HostOffer.Kind> releases = starts.isEmpty() ? selectReleases(plan, offers) : List.of();
        return new PurchaseDecision(starts, releases, Math.max(0, plan.missingConcurrency()));
    }

    private HostOffer selectNextStart(
            CapacityPlan plan, List<HostOffer> offers, FleetCapacity fleet, long nowMs) {
        List<HostOffer> allowedOffers =
                offers.stream()
                        .filter(offer -> !fleet.drained().contains(offer.kind().dataCentre()))
                        .filter(offer -> refusals.mayRequest(offer.kind(), nowMs))
                        .sorted(BY_PRICE)
                        .toList();
        boolean needsOnDemand =
                plan.onDemandConcurrency()
                        < limits.minOnDemandShare() * fleet.requiredConcurrency();
        for (HostOffer offer : allowedOffers) {
            boolean reclaimable = FleetCapacity.isReclaimable(offer.kind());
            if (!reclaimable || (!needsOnDemand && plan.isWithinReclaimableLimit(offer, limits))) {
                return offer;
            }
        }
        return allowedOffers.isEmpty() ? null : allowedOffers.get(0);
    }

    private List<HostOffer.Kind> selectReleases(CapacityPlan plan, List<HostOffer> offers) {
        List<HostOffer.Kind> releases = new ArrayList<>();
        List<HostOffer> mostExpensiveFirst = offers.stream().sorted(BY_PRICE.reversed()).toList();
        for (HostOffer offer : mostExpensiveFirst) {
            while (plan.canRelease(offer, limits)) {
                plan.remove(offer);
                releases.add(offer.kind());
            }
        }
        return releases;
    }

    /** Tracks the planned capacity while hosts are added and removed. */
    private static final class CapacityPlan {

        private final FleetCapacity fleet;
        private final Map<HostOffer.Kind, Integer> hosts;
        private final Map<DataCentreId, Integer> reclaimableConcurrency = new HashMap<>();
        private int plannedConcurrency;
        private int onDemandConcurrency;

        CapacityPlan(FleetCapacity fleet, List<HostOffer> offers) {
            this.fleet = fleet;
            this.hosts = new HashMap<>(fleet.hosts());
            for (HostOffer offer : offers) {
                count(offer, fleet.hosts(offer.kind()));
            }
        }

        int missingConcurrency() {
            return fleet.requiredConcurrency() - plannedConcurrency;
        }

        int onDemandConcurrency() {
            return onDemandConcurrency;
        }

        void add(HostOffer offer) {
            hosts.merge(offer.kind(), 1, Integer::sum);
            count(offer, 1);
        }

        void remove(HostOffer offer) {
            hosts.merge(offer.kind(), -1, Integer::sum);
            count(offer, -1);
        }

        boolean isWithinReclaimableLimit(HostOffer offer, PurchaseLimits limits) {
            int presentConcurrency =
                    reclaimableConcurrency.getOrDefault(offer.kind().dataCentre(), 0);
            double maxConcurrency =
                    limits.maxReclaimableSharePerDataCentre() * fleet.requiredConcurrency();
            return presentConcurrency == 0
                    || presentConcurrency + offer.concurrencyLimit() <= maxConcurrency;
        }

        boolean canRelease(HostOffer offer, PurchaseLimits limits) {
            int remainingConcurrency = plannedConcurrency - offer.concurrencyLimit();
            boolean keepsOnDemand =
                    FleetCapacity.isReclaimable(offer.kind())
                            || onDemandConcurrency - offer.concurrencyLimit()
                                    >= limits.minOnDemandShare() * fleet.requiredConcurrency();
            return hosts.getOrDefault(offer.kind(), 0) > 0
                    && remainingConcurrency >= RELEASE_HEADROOM_FACTOR * fleet.requiredConcurrency()
                    && keepsOnDemand;
        }

        private void count(HostOffer offer, int hostCount) {
            int addedConcurrency = hostCount * offer.concurrencyLimit();
            plannedConcurrency += addedConcurrency;
            if (FleetCapacity.isReclaimable(offer.kind())) {
                reclaimableConcurrency.merge(
                        offer.kind().dataCentre(), addedConcurrency, Integer::sum);
            } else {
                onDemandConcurrency += addedConcurrency;
            }
        }
    }
}
