package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Selects the candidate with the lowest sum of penalties for latency, price and risk.
 *
 * <p>The penalties compare the estimated time to the first token with the target, the price of the
 * call with the cheapest candidate, and the work expected to be done twice after a reclaim or a
 * lost cache entry. Among candidates with nearly equal scores, two are drawn at random and the less
 * loaded one is selected (power of two choices).
 *
 * <p>An endpoint that has no credit, serves another version or is excluded by the request is never
 * selected. Price and risk are relative to the cheapest candidate, so that the weights do not
 * depend on the currency. Immutable; thread-safe if the given {@link PrefixCacheEstimator} is.
 */
public final class ScoringEndpointSelector implements EndpointSelector {

    private static final double LOG_2 = Math.log(2);
    private static final double MS_PER_HOUR = 3_600_000;

    /** Share of the first-token target up to which an estimate is not penalized. */
    private static final double UNPENALIZED_TARGET_SHARE = 0.5;

    /** Penalty for each multiple of the first-token target by which an estimate exceeds it. */
    private static final double OVER_TARGET_PENALTY_SLOPE = 20;

    /** Maximum distance from the best total that counts as a tie. */
    private static final double TIE_MARGIN = 0.1;

    private static final double MIN_CALL_MS = 1;

    /** Share of a call that is repeated after a reclaim, which on average interrupts it halfway. */
    private static final double MEAN_RERUN_SHARE = 0.5;

    /** Penalty for processing the whole prompt twice. */
    private static final double RECOMPUTATION_WEIGHT = 4;

    private static final long RETRY_AFTER_MS = 500;

    private final PrefixCacheEstimator prefixes;

    /**
     * Creates a selector.
     *
     * @param prefixes estimates what the endpoints have cached
     */
    public ScoringEndpointSelector(PrefixCacheEstimator prefixes) {
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes must not be null");
    }

    @Override
    public Selection select(
            SelectionRequest request,
            Collection<EndpointCandidate> candidates,
            long nowMs,
            RandomGenerator random) {
        List<EndpointCandidate> eligible = eligibleCandidates(request, candidates);
        if (eligible.isEmpty()) {
            return Selection.refused(createRefusal(request, candidates));
        }
        List<CandidateScore> scores = score(request, eligible, nowMs);
        int selected = selectAmongTied(eligible, scores, random);
        return Selection.selected(eligible.get(selected), scores.get(selected));
    }

    @Override
    public List<CandidateScore> explain(
            SelectionRequest request, Collection<EndpointCandidate> candidates, long nowMs) {
        List<CandidateScore> scores =
                new ArrayList<>(score(request, eligibleCandidates(request, candidates), nowMs));
        scores.sort(Comparator.comparingDouble(CandidateScore::total));
        return scores;
    }

    private static List<EndpointCandidate> eligibleCandidates(
            SelectionRequest request, Collection<EndpointCandidate> candidates) {
        List<EndpointCandidate> eligible = new ArrayList<>(candidates.size());
        for (EndpointCandidate candidate : candidates) {
            if (candidate.credits() > 0
                    && candidate.version().equals(request.version())
                    && !request.excluded().contains(candidate.id())) {
                eligible.add(candidate);
            }
        }
        return eligible;
    }

    private List<CandidateScore> score(
            SelectionRequest request, List<EndpointCandidate> eligible, long nowMs) {
        int count = eligible.size();
        double[] cachedTokens = new double[count];
        double[] callPrices = new double[count];
        double cheapest = Double.MAX_VALUE;
        double mostCached = 0;
        for (int i = 0; i < count; i++) {
            EndpointCandidate candidate = eligible.get(i);
            cachedTokens[i] = cachedTokens(request, candidate, nowMs);
            callPrices[i] = callPrice(request, candidate, cachedTokens[i]);
            cheapest = Math.min(cheapest, callPrices[i]);
            mostCached = Math.max(mostCached, cachedTokens[i]);
        }
        Baseline baseline = new Baseline(cheapest, mostCached);
        List<CandidateScore> scores = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            scores.add(
                    score(
                            request,
                            eligible.get(i),
                            cachedTokens[i],
                            callPrices[i],
                            baseline,
                            nowMs));
        }
        return scores;
    }

    private double cachedTokens(SelectionRequest request, EndpointCandidate candidate, long nowMs) {
        if (request.prefix().blockCount() == 0) {
            return 0;
        }
        double estimatedTokens =
                prefixes.estimateCachedTokens(candidate.id(), request.prefix(), nowMs);
        return Math.min(estimatedTokens, request.promptTokens());
    }

    private static double callPrice(
            SelectionRequest request, EndpointCandidate candidate, double cachedTokens) {
        double decodeMs = FirstTokenEstimator.decodeMs(candidate, request);
        double sharedDecodeMs = decodeMs / (1 + candidate.outstandingRequests());
        double hostMs =
                FirstTokenEstimator.prefillMs(candidate, request.promptTokens() - cachedTokens)
                        + sharedDecodeMs
                        + MIN_CALL_MS;
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
        double firstTokenMs = candidate.networkRoundTripMs() + queueMs + prefillMs;
        double decodeMs = FirstTokenEstimator.decodeMs(candidate, request);
        double exposureHours = (firstTokenMs + decodeMs) / MS_PER_HOUR;
        double expectedRerunPrice =
                candidate.price().reclaimsPerHour()
                        * exposureHours
                        * MEAN_RERUN_SHARE
                        * candidate.price().pricePerHour()
                        * (prefillMs + decodeMs)
                        / MS_PER_HOUR;
        double referencePrice = Math.max(baseline.cheapestPrice(), Double.MIN_NORMAL);
        return new CandidateScore(
                candidate.id(),
                cachedTokens,
                queueMs,
                prefillMs,
                firstTokenMs,
                latenessPenalty(firstTokenMs / request.profile().firstTokenTargetMs()),
                request.profile().costWeight() * log2Ratio(callPrice, referencePrice),
                request.profile().riskWeight()
                        * (expectedRerunPrice / referencePrice
                                + recomputationPenalty(
                                        request, candidate, cachedTokens, baseline, nowMs)));
    }

    /**
     * Returns the penalty for prompt tokens that are cached elsewhere and have to be processed
     * again now, or that are expected to be evicted before the next call with the same prompt.
     */
    private double recomputationPenalty(
            SelectionRequest request,
            EndpointCandidate candidate,
            double cachedTokens,
            Baseline baseline,
            long nowMs) {
        if (request.prefix().blockCount() == 0) {
            return 0;
        }
        double recomputedNow = Math.max(0, baseline.mostCachedTokens() - cachedTokens);
        double evictionProbability = 1 - prefixes.retentionProbability(candidate.id(), nowMs);
        double expectedRecomputedLater =
                evictionProbability * (request.promptTokens() - cachedTokens);
        return RECOMPUTATION_WEIGHT
                * (recomputedNow + expectedRecomputedLater)
                / Math.max(1, request.promptTokens());
    }

    private static double log2Ratio(double price, double cheapest) {
        return Math.log(Math.max(price, cheapest) / cheapest) / LOG_2;
    }

    private static double latenessPenalty(double shareOfTarget) {
        if (shareOfTarget <= UNPENALIZED_TARGET_SHARE) {
            return 0;
        }
        double withinTarget =
                (Math.min(1, shareOfTarget) - UNPENALIZED_TARGET_SHARE)
                        / (1 - UNPENALIZED_TARGET_SHARE);
        return withinTarget + OVER_TARGET_PENALTY_SLOPE * Math.max(0, shareOfTarget - 1);
    }

    private static int selectAmongTied(
            List<EndpointCandidate> eligible, List<CandidateScore> scores, RandomGenerator random) {
        double best = Double.MAX_VALUE;
        for (CandidateScore score : scores) {
            best = Math.min(best, score.total());
        }
        int[] tied = new int[scores.size()];
        int count = 0;
        for (int i = 0; i < scores.size(); i++) {
            if (scores.get(i).total() <= best + TIE_MARGIN) {
                tied[count++] = i;
            }
        }
        int first = tied[random.nextInt(count)];
        int second = tied[random.nextInt(count)];
        return relativeLoad(eligible.get(first)) <= relativeLoad(eligible.get(second))
                ? first
                : second;
    }

    private static double relativeLoad(EndpointCandidate candidate) {
        return (double) candidate.outstandingRequests() / candidate.load().concurrencyLimit();
    }

    private static SelectionRefusal createRefusal(
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
     * Holds the best values among the candidates, with which each candidate is compared. Immutable.
     *
     * @param cheapestPrice lowest price of the call at any candidate
     * @param mostCachedTokens highest number of prompt tokens expected in the cache of a candidate
     */
    private record Baseline(double cheapestPrice, double mostCachedTokens) {}
}
