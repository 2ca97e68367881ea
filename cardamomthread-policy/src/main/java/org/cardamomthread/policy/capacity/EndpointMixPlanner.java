package org.cardamomthread.policy.capacity;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Plans the number of endpoints of each kind: the cheapest mix, in which reclaimable endpoints are
 * spread over the data centres. Expensive endpoints are released only after cheaper ones are warm.
 *
 * <p>Each data centre gets at least its minimum, if available, and never more than its maximum. A
 * release never reduces the number of warm endpoints below the required number. No additional
 * endpoints are planned of a kind during the backoff after a refusal. Thread-safe: the only mutable
 * state is the {@link RefusalBackoff}, which is only read here.
 */
public final class EndpointMixPlanner {

    private static final Comparator<HostOffer> BY_PRICE =
            Comparator.comparingDouble(HostOffer::pricePerHour)
                    .thenComparing(offer -> offer.kind().dataCentre());

    /**
     * Offers priced within this factor of the cheapest one are treated as equal in price, and the
     * data centre with the fewest planned endpoints is preferred.
     */
    private static final double SIMILAR_PRICE_FACTOR = 2.0;

    private final double maxReclaimableSharePerDataCentre;
    private final RefusalBackoff refusals;

    /**
     * Describes the present and the required endpoints of a service. Immutable.
     *
     * @param desired number of endpoints that should be warm, as far as they are reclaimable and
     *     thus cheap
     * @param required number of endpoints that must be warm whatever their price, at most {@code
     *     desired}
     * @param provisioned number of endpoints that are present or ordered, by kind
     * @param warm number of endpoints that are warmed up, by kind
     * @param minPerDataCentre minimum number of endpoints per data centre
     * @param maxPerDataCentre maximum number of endpoints per data centre
     */
    public record PlanningInput(
            int desired,
            int required,
            Map<HostOffer.Kind, Integer> provisioned,
            Map<HostOffer.Kind, Integer> warm,
            int minPerDataCentre,
            int maxPerDataCentre) {

        /** Makes defensive copies. */
        public PlanningInput {
            provisioned = Map.copyOf(provisioned);
            warm = Map.copyOf(warm);
        }
    }

    /**
     * Creates a planner.
     *
     * @param maxReclaimableSharePerDataCentre maximum share of the desired endpoints that may be
     *     reclaimable endpoints of one kind, because those of a data centre may all be lost at
     *     once, above 0 and at most 1
     * @param refusals backoff after refused orders
     */
    public EndpointMixPlanner(double maxReclaimableSharePerDataCentre, RefusalBackoff refusals) {
        if (!(maxReclaimableSharePerDataCentre > 0 && maxReclaimableSharePerDataCentre <= 1)) {
            throw new IllegalArgumentException(
                    "maxReclaimableSharePerDataCentre "
                            + maxReclaimableSharePerDataCentre
                            + " must be greater than 0 and at most 1");
        }
        this.maxReclaimableSharePerDataCentre = maxReclaimableSharePerDataCentre;
        this.refusals = Objects.requireNonNull(refusals, "refusals must not be null");
    }

    /**
     * Plans how many endpoints of each kind to order.
     *
     * @param input present and required endpoints
     * @param offers kinds of host that the platform offers
     * @param nowMs monotonic time, in milliseconds
     * @return new total number for each kind whose number should change
     */
    public Map<HostOffer.Kind, Integer> plan(
            PlanningInput input, List<HostOffer> offers, long nowMs) {
        Map<HostOffer.Kind, Integer> target = computeTarget(input, offers, nowMs);
        Map<HostOffer.Kind, Integer> orders = new HashMap<>();
        int warm = sum(input.warm());
        List<HostOffer> mostExpensiveFirst = offers.stream().sorted(BY_PRICE.reversed()).toList();
        for (HostOffer offer : mostExpensiveFirst) {
            HostOffer.Kind kind = offer.kind();
            int planned = target.getOrDefault(kind, 0);
            int provisioned = input.provisioned().getOrDefault(kind, 0);
            int releasable =
                    warm - (FleetCapacity.isReclaimable(kind) ? input.desired() : input.required());
            if (planned > provisioned) {
                orders.put(kind, planned);
            } else if (planned < provisioned && releasable > 0) {
                int released = Math.min(provisioned - planned, releasable);
                warm -= released;
                orders.put(kind, provisioned - released);
            }
        }
        return orders;
    }

    private Map<HostOffer.Kind, Integer> computeTarget(
            PlanningInput input, List<HostOffer> offers, long nowMs) {
        List<HostOffer> cheapestFirst = offers.stream().sorted(BY_PRICE).toList();
        TargetMix target = new TargetMix(input, maxReclaimableSharePerDataCentre, nowMs);
        for (HostOffer offer : cheapestFirst) {
            while (target.countOf(offer.kind().dataCentre()) < input.minPerDataCentre()
                    && target.canAdd(offer, input)) {
                target.add(offer);
            }
        }
        List<HostOffer> reclaimable =
                cheapestFirst.stream()
                        .filter(offer -> FleetCapacity.isReclaimable(offer.kind()))
                        .toList();
        fill(target, reclaimable, input, input.desired(), true);
        fill(target, cheapestFirst, input, input.required(), true);
        fill(target, cheapestFirst, input, input.required(), false);
        return target.counts;
    }

    private void fill(
            TargetMix target,
            List<HostOffer> offers,
            PlanningInput input,
            int targetCount,
            boolean limitReclaimable) {
        while (target.total < targetCount) {
            List<HostOffer> addableOffers =
                    offers.stream()
                            .filter(offer -> target.canAdd(offer, input))
                            .filter(
                                    offer ->
                                            !limitReclaimable
                                                    || target.isWithinReclaimableLimit(offer))
                            .toList();
            if (addableOffers.isEmpty()) {
                return;
            }
            double maxSimilarPrice = addableOffers.get(0).pricePerHour() * SIMILAR_PRICE_FACTOR;
            HostOffer next =
                    addableOffers.stream()
                            .filter(offer -> offer.pricePerHour() <= maxSimilarPrice)
                            .min(
                                    Comparator.comparingInt(
                                            offer -> target.countOf(offer.kind().dataCentre())))
                            .orElseThrow();
            target.add(next);
        }
    }

    private static int sum(Map<HostOffer.Kind, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Tracks the planned endpoints. */
    private final class TargetMix {

        private final Map<HostOffer.Kind, Integer> counts = new HashMap<>();
        private final int maxReclaimablePerKind;
        private final long nowMs;
        private int total;

        TargetMix(PlanningInput input, double reclaimableShare, long nowMs) {
            this.nowMs = nowMs;
            maxReclaimablePerKind =
                    Math.max(1, (int) Math.ceil(reclaimableShare * input.desired()));
        }

        int countOf(DataCentreId dataCentre) {
            return counts.entrySet().stream()
                    .filter(entry -> entry.getKey().dataCentre().equals(dataCentre))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }

        boolean canAdd(HostOffer offer, PlanningInput input) {
            HostOffer.Kind kind = offer.kind();
            boolean isAvailable =
                    refusals.mayRequest(kind, nowMs)
                            || counts.getOrDefault(kind, 0)
                                    < input.provisioned().getOrDefault(kind, 0);
            return isAvailable && countOf(kind.dataCentre()) < input.maxPerDataCentre();
        }

        boolean isWithinReclaimableLimit(HostOffer offer) {
            return !FleetCapacity.isReclaimable(offer.kind())
                    || counts.getOrDefault(offer.kind(), 0) < maxReclaimablePerKind;
        }

        void add(HostOffer offer) {
            counts.merge(offer.kind(), 1, Integer::sum);
            total++;
        }
    }
}
