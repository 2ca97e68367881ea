package org.cardamomthread.policy.capacity;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Plans how many endpoints of each kind to keep: the cheapest mix, with the reclaimable ones spread
 * over data centres, and dear ones released once cheaper ones are warm.
 *
 * <p>Invariants: each data centre keeps its least and never exceeds its most; a release never takes
 * the warm endpoints below what is required; a kind that was refused lately is not planned.
 * Immutable apart from the refusals, which it only reads; safe for use by several threads.
 */
public final class EndpointMixPlanner {

    private static final Comparator<HostOffer> BY_PRICE =
            Comparator.comparingDouble(HostOffer::pricePerHour)
                    .thenComparing(offer -> offer.kind().dataCentre());

    /** Prices within this factor count as alike, so that the spread decides between them. */
    private static final double ALIKE_PRICES = 2.0;

    private final double reclaimableShareOfDataCentre;
    private final RefusalBackoff refusals;

    /**
     * Holds what is there and what is wanted. Immutable.
     *
     * @param wanted endpoints that should be warm together, as long as they are cheap
     * @param required endpoints that must be warm together whatever they cost, at most the wanted
     * @param expected endpoints that are present or ordered, by kind
     * @param warm endpoints that bear their full load, by kind
     * @param minPerDataCentre fewest endpoints of a data centre
     * @param maxPerDataCentre most endpoints of a data centre
     */
    public record Situation(
            int wanted,
            int required,
            Map<HostOffer.Kind, Integer> expected,
            Map<HostOffer.Kind, Integer> warm,
            int minPerDataCentre,
            int maxPerDataCentre) {

        /** Copies the maps. */
        public Situation {
            expected = Map.copyOf(expected);
            warm = Map.copyOf(warm);
        }
    }

    /**
     * Creates a planner.
     *
     * @param reclaimableShareOfDataCentre greatest share of the need on the reclaimable endpoints
     *     of one data centre, which may be lost at once, above 0 to 1
     * @param refusals refused orders
     */
    public EndpointMixPlanner(double reclaimableShareOfDataCentre, RefusalBackoff refusals) {
        if (!(reclaimableShareOfDataCentre > 0 && reclaimableShareOfDataCentre <= 1)) {
            throw new IllegalArgumentException(
                    "reclaimableShareOfDataCentre "
                            + reclaimableShareOfDataCentre
                            + " must be above 0 to 1");
        }
        this.reclaimableShareOfDataCentre = reclaimableShareOfDataCentre;
        this.refusals = Objects.requireNonNull(refusals, "refusals must be given");
    }

    /**
     * Plans the numbers of endpoints to order.
     *
     * @param situation what is there and wanted
     * @param offers the kinds that can be had
     * @param nowMs monotonic time, in milliseconds
     * @return the number to order of each kind whose number should change
     */
    public Map<HostOffer.Kind, Integer> plan(
            Situation situation, List<HostOffer> offers, long nowMs) {
        Map<HostOffer.Kind, Integer> target = computeTarget(situation, offers, nowMs);
        Map<HostOffer.Kind, Integer> orders = new HashMap<>();
        int warm = sum(situation.warm());
        List<HostOffer> dearestFirst = offers.stream().sorted(BY_PRICE.reversed()).toList();
        for (HostOffer offer : dearestFirst) {
            HostOffer.Kind kind = offer.kind();
            int planned = target.getOrDefault(kind, 0);
            int expected = situation.expected().getOrDefault(kind, 0);
            int spare =
                    warm
                            - (FleetView.isReclaimable(kind)
                                    ? situation.wanted()
                                    : situation.required());
            if (planned > expected) {
                orders.put(kind, planned);
            } else if (planned < expected && spare > 0) {
                int released = Math.min(expected - planned, spare);
                warm -= released;
                orders.put(kind, expected - released);
            }
        }
        return orders;
    }

    private Map<HostOffer.Kind, Integer> computeTarget(
            Situation situation, List<HostOffer> offers, long nowMs) {
        List<HostOffer> cheapestFirst = offers.stream().sorted(BY_PRICE).toList();
        Target target = new Target(situation, reclaimableShareOfDataCentre, nowMs);
        for (HostOffer offer : cheapestFirst) {
            while (target.countOf(offer.kind().dataCentre()) < situation.minPerDataCentre()
                    && target.hasRoom(offer, situation)) {
                target.add(offer);
            }
        }
        List<HostOffer> reclaimable =
                cheapestFirst.stream()
                        .filter(offer -> FleetView.isReclaimable(offer.kind()))
                        .toList();
        fill(target, reclaimable, situation, situation.wanted(), true);
        fill(target, cheapestFirst, situation, situation.required(), true);
        fill(target, cheapestFirst, situation, situation.required(), false);
        return target.counts;
    }

    private void fill(
            Target target,
            List<HostOffer> offers,
            Situation situation,
            int count,
            boolean keepsShare) {
        while (target.total < count) {
            List<HostOffer> possible =
                    offers.stream()
                            .filter(offer -> target.hasRoom(offer, situation))
                            .filter(offer -> !keepsShare || target.keepsShare(offer))
                            .toList();
            if (possible.isEmpty()) {
                return;
            }
            double alikePrice = possible.get(0).pricePerHour() * ALIKE_PRICES;
            HostOffer next =
                    possible.stream()
                            .filter(offer -> offer.pricePerHour() <= alikePrice)
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

    /** Counts the planned endpoints. */
    private final class Target {

        private final Map<HostOffer.Kind, Integer> counts = new HashMap<>();
        private final int mostReclaimable;
        private final long nowMs;
        private int total;

        Target(Situation situation, double share, long nowMs) {
            this.nowMs = nowMs;
            mostReclaimable = Math.max(1, (int) Math.ceil(share * situation.wanted()));
        }

        int countOf(DataCentreId dataCentre) {
            return counts.entrySet().stream()
                    .filter(entry -> entry.getKey().dataCentre().equals(dataCentre))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }

        boolean hasRoom(HostOffer offer, Situation situation) {
            HostOffer.Kind kind = offer.kind();
            boolean isObtainable =
                    refusals.mayAsk(kind, nowMs)
                            || counts.getOrDefault(kind, 0)
                                    < situation.expected().getOrDefault(kind, 0);
            return isObtainable && countOf(kind.dataCentre()) < situation.maxPerDataCentre();
        }

        boolean keepsShare(HostOffer offer) {
            return !FleetView.isReclaimable(offer.kind())
                    || counts.getOrDefault(offer.kind(), 0) < mostReclaimable;
        }

        void add(HostOffer offer) {
            counts.merge(offer.kind(), 1, Integer::sum);
            total++;
        }
    }
}
