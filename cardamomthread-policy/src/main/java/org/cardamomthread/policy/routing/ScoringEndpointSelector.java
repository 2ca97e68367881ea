package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Scores each candidate by estimated time to the first token against the target, then price, then
 * the price of work redone after a reclaim, and breaks near ties by the less loaded of two.
 *
 * <p>Invariants: an endpoint without a credit, of another version or excluded by the request is
 * never chosen. Price and risk are relative to the cheapest candidate, so that weights hold for any
 * currency. Immutable; safe for use by several threads if the prefix knowledge is.
 */
public final class ScoringEndpointSelector implements EndpointSelector {

    private static final double LOG_2 = Math.log(2);
    private static final double MS_PER_HOUR = 3_600_000;
    private static final double COMFORTABLE_SHARE = 0.5; // share of the target without penalty
    private static final double LATE_SLOPE = 20; // penalty per target beyond the target
    private static final double NEAR_EQUAL = 0.1; // difference of totals that counts as a tie
    private static final double MINIMUM_CALL_MS = 1;
    private static final double MEAN_SHARE_REDONE = 0.5; // a reclaim strikes halfway on average
    private static final double RECOMPUTE_WEIGHT = 4; // penalty for a whole prompt
    private static final long RETRY_AFTER_MS = 500;

    private final PrefixKnowledge prefixes;

    /**
     * Creates a selector.
     *
     * @param prefixes what is known of the endpoints' prefix caches
     */
    public ScoringEndpointSelector(PrefixKnowledge prefixes) {
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes must be given");
    }

    @Override
    public Selection select(
            SelectionRequest request,
            Collection<EndpointCandidate> candidates,
            long nowMs,
            RandomGenerator random) {
        List<EndpointCandidate> usable = usable(request, candidates);
        if (usable.isEmpty()) {
            return Selection.refused(refusal(request, candidates));
        }
        List<CandidateScore> scores = score(request, usable, nowMs);
        int chosen = chooseAmongNearEqual(usable, scores, random);
        return Selection.chosen(usable.get(chosen), scores.get(chosen));
    }

    @Override
    public List<CandidateScore> explain(
            SelectionRequest request, Collection<EndpointCandidate> candidates, long nowMs) {
        List<CandidateScore> scores =
                new ArrayList<>(score(request, usable(request, candidates), nowMs));
        scores.sort(Comparator.comparingDouble(CandidateScore::total));
        return scores;
    }

    private static List<EndpointCandidate> usable(
            SelectionRequest request, Collection<EndpointCandidate> candidates) {
        List<EndpointCandidate> usable = new ArrayList<>(candidates.size());
        for (EndpointCandidate candidate : candidates) {
            if (candidate.credits() > 0
                    && candidate.version().equals(request.version())
                    && !request.excluded().contains(candidate.id())) {
                usable.add(candidate);
            }
        }
        return usable;
    }

    private List<CandidateScore> score(
            SelectionRequest request, List<EndpointCandidate> usable, long nowMs) {
        int count = usable.size();
        double[] cachedTokens = new double[count];
        double[] callPrices = new double[count];
        double cheapest = Double.MAX_VALUE;
        double mostCached = 0;
        for (int i = 0; i < count; i++) {
            EndpointCandidate candidate = usable.get(i);
            cachedTokens[i] = cachedTokens(request, candidate, nowMs);
            callPrices[i] = callPrice(request, candidate, cachedTokens[i]);
            cheapest = Math.min(cheapest, callPrices[i]);
            mostCached = Math.max(mostCached, cachedTokens[i]);
        }
        Baseline baseline = new Baseline(cheapest, mostCached);
        List<CandidateScore> scores = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            scores.add(
                    score(request, usable.get(i), cachedTokens[i], callPrices[i], baseline, nowMs));
        }
        return scores;
    }

    private double cachedTokens(SelectionRequest request, EndpointCandidate candidate, long nowMs) {
        if (request.prefix().length() == 0) {
            return 0;
        }
        double known = prefixes.cachedTokens(candidate.id(), request.prefix(), nowMs);
        return Math.min(known, request.promptTokens());
    }

    private static double callPrice(
            SelectionRequest request, EndpointCandidate candidate, double cachedTokens) {
        double decodeMs = FirstTokenEstimator.decodeMs(candidate, request);
        double sharedDecodeMs = decodeMs / (1 + candidate.outstanding());
        double hostMs =
                FirstTokenEstimator.prefillMs(candidate, request.promptTokens() - cachedTokens)
                        + sharedDecodeMs
                        + MINIMUM_CALL_MS;
        return candidate.price().pricePerHour() * hostMs / MS_PER_HOUR;
    }

    private CandidateScore score(
            SelectionRequest request,
            EndpointCandidate candidate,
            double cachedTokens,
            double callPrice,
            Baseline baseline,
            long nowMs) {
        double prefillMs =
                FirstTokenEstimator.prefillMs(candidate, request.promptTokens() - cachedTokens);
        double queueMs = FirstTokenEstimator.queueMs(candidate, request, nowMs);
        double firstTokenMs = candidate.networkDelayMs() + queueMs + prefillMs;
        double decodeMs = FirstTokenEstimator.decodeMs(candidate, request);
        double exposureHours = (firstTokenMs + decodeMs) / MS_PER_HOUR;
        double redoPrice =
                candidate.price().reclaimsPerHour()
                        * exposureHours
                        * MEAN_SHARE_REDONE
                        * candidate.price().pricePerHour()
                        * (prefillMs + decodeMs)
                        / MS_PER_HOUR;
        double unit = Math.max(baseline.cheapestPrice(), Double.MIN_NORMAL);
        return new CandidateScore(
                candidate.id(),
                cachedTokens,
                queueMs,
                prefillMs,
                firstTokenMs,
                lateness(firstTokenMs / request.profile().firstTokenTargetMs()),
                request.profile().costWeight() * doublings(callPrice, unit),
                request.profile().riskWeight()
                        * (redoPrice / unit
                                + recompute(request, candidate, cachedTokens, baseline, nowMs)));
    }

    /** Returns the share of the prompt that is processed again, now or when it comes again. */
    private double recompute(
            SelectionRequest request,
            EndpointCandidate candidate,
            double cachedTokens,
            Baseline baseline,
            long nowMs) {
        if (request.prefix().length() == 0) {
            return 0;
        }
        double againNow = Math.max(0, baseline.mostCachedTokens() - cachedTokens);
        double lost = 1 - prefixes.retention(candidate.id(), nowMs);
        double againLater = lost * (request.promptTokens() - cachedTokens);
        return RECOMPUTE_WEIGHT * (againNow + againLater) / Math.max(1, request.promptTokens());
    }

    private static double doublings(double price, double cheapest) {
        return Math.log(Math.max(price, cheapest) / cheapest) / LOG_2;
    }

    private static double lateness(double shareOfTarget) {
        if (shareOfTarget <= COMFORTABLE_SHARE) {
            return 0;
        }
        double withinTarget =
                (Math.min(1, shareOfTarget) - COMFORTABLE_SHARE) / (1 - COMFORTABLE_SHARE);
        return withinTarget + LATE_SLOPE * Math.max(0, shareOfTarget - 1);
    }

    private static int chooseAmongNearEqual(
            List<EndpointCandidate> usable, List<CandidateScore> scores, RandomGenerator random) {
        double best = Double.MAX_VALUE;
        for (CandidateScore score : scores) {
            best = Math.min(best, score.total());
        }
        int[] nearEqual = new int[scores.size()];
        int count = 0;
        for (int i = 0; i < scores.size(); i++) {
            if (scores.get(i).total() <= best + NEAR_EQUAL) {
                nearEqual[count++] = i;
            }
        }
        int first = nearEqual[random.nextInt(count)];
        int second = nearEqual[random.nextInt(count)];
        return relativeLoad(usable.get(first)) <= relativeLoad(usable.get(second)) ? first : second;
    }

    private static double relativeLoad(EndpointCandidate candidate) {
        return (double) candidate.outstanding() / candidate.load().bearableRequests();
    }

    private static SelectionRefusal refusal(
            SelectionRequest request, Collection<EndpointCandidate> candidates) {
        int otherVersion = 0;
        int excluded = 0;
        int withoutCredit = 0;
        for (EndpointCandidate candidate : candidates) {
            if (!candidate.version().equals(request.version())) {
                otherVersion++;
            } else if (request.excluded().contains(candidate.id())) {
                excluded++;
            } else {
                withoutCredit++;
            }
        }
        SelectionRefusal.Reason reason;
        if (candidates.isEmpty()) {
            reason = SelectionRefusal.Reason.NO_ENDPOINT;
        } else if (otherVersion == candidates.size()) {
            reason = SelectionRefusal.Reason.NO_ENDPOINT_OF_VERSION;
        } else if (withoutCredit == 0) {
            reason = SelectionRefusal.Reason.ALL_EXCLUDED;
        } else {
            reason = SelectionRefusal.Reason.NO_CREDIT;
        }
        return new SelectionRefusal(
                reason, candidates.size(), otherVersion, excluded, withoutCredit, RETRY_AFTER_MS);
    }

    /**
     * Holds the best values among the candidates, to which each is compared. Immutable.
     *
     * @param cheapestPrice lowest price of the call
     * @param mostCachedTokens most prompt tokens expected in a cache
     */
    private record Baseline(double cheapestPrice, double mostCachedTokens) {}
}
