package org.cardamomthread.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.policy.placement.PlacementDecision.Reason;
import org.cardamomthread.policy.placement.ServicePace.Candidate;
import org.cardamomthread.policy.placement.ServicePace.Locality;

/**
 * Chooses the endpoint of a request by the expected time to the first token.
 *
 * <p>Among near-equal endpoints, one that has a part of the prompt is preferred, then the first by
 * rendezvous hash of the shared part, on which all gateways agree; a request without a shared part
 * goes to the better of two drawn at random, so that gateways with the same knowledge do not all
 * choose the same endpoint. An endpoint of another data centre is chosen only if it has a free slot
 * and is expected to be faster than the best local one by more than the margin. Not thread-safe:
 * arrays are reused between requests.
 */
public final class EndpointPlacement {

    private static final int NONE = -1;

    private final RandomGenerator random;
    private double[] expectedMs = new double[0];
    private double[] requests = new double[0];

    /** Tolerances in half of the latency objective. */
    private static final double SHARED_PROMPT_TOLERANCES = 5;

    private boolean[] isLocal = new boolean[0];
    private boolean[] isOpen = new boolean[0];
    private int[] band = new int[0];

    /**
     * Creates a placement.
     *
     * @param random draws the near-equal endpoints to compare
     */
    public EndpointPlacement(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses an endpoint.
     *
     * @param candidates the endpoints that may take the request, one or more
     * @param locality tells which of them are in the gateway's data centre
     * @param request what the placement depends on
     * @param service the measurements of the service
     * @param gatewayCount the number of gateways, 0 if not known
     * @param nowMs the current time, in monotonic milliseconds
     * @return the decision
     */
    public PlacementDecision choose(
            List<? extends Candidate> candidates,
            Locality locality,
            PlacementRequest request,
            ServicePace service,
            int gatewayCount,
            long nowMs) {
        estimate(candidates, locality, request, service, gatewayCount, nowMs);
        int count = candidates.size();
        int bestLocal = findBest(count, true);
        if (bestLocal == NONE) {
            Arrays.fill(isOpen, 0, count, true);
            int chosen = chooseNearBest(candidates, request, findBest(count, false));
            return new PlacementDecision(
                    chosen, expectedMs[chosen], NONE, Double.NaN, Reason.NONE_IN_OWN_DATA_CENTRE);
        }
        double bestLocalMs = expectedMs[bestLocal];
        int chosen = chooseElsewhere(candidates, request, bestLocalMs);
        Reason reason = Reason.OWN_DATA_CENTRE;
        if (chosen != NONE && !Double.isNaN(service.utilisation(false))) {
            reason = Reason.FASTER_ELSEWHERE;
            service.probes().recordCapacityFound();
        } else if (chosen != NONE && service.probes().tryProbe(nowMs)) {
            reason = Reason.PROBE_ELSEWHERE;
        } else {
            chosen = chooseNearBest(candidates, request, bestLocal);
        }
        return new PlacementDecision(chosen, expectedMs[chosen], bestLocal, bestLocalMs, reason);
    }

    /**
     * Returns whether a candidate of the last choice may take a shared prompt that it is expected
     * to keep: callers do not notice a slower endpoint within half of the latency objective, and
     * other prompts wait less if the part is not read again elsewhere.
     *
     * @param index the index of the candidate
     * @param decision the last choice
     * @param request what that choice depended on
     * @return false if the candidate is expected to be too slow
     */
    public boolean isFastEnoughForSharedPrompt(
            int index, PlacementDecision decision, PlacementRequest request) {
        double maxMs =
                Math.max(
                        decision.expectedMs() + request.toleranceMs(),
                        SHARED_PROMPT_TOLERANCES * request.toleranceMs());
        return expectedMs[index] <= maxMs;
    }

    /** Returns the endpoint elsewhere that is faster by more than the margin, or none. */
    private int chooseElsewhere(
            List<? extends Candidate> candidates, PlacementRequest request, double bestLocalMs) {
        int best = findBest(candidates.size(), false);
        if (best == NONE || expectedMs[best] + request.marginMs() >= bestLocalMs) {
            return NONE;
        }
        int chosen = chooseNearBest(candidates, request, best);
        return expectedMs[chosen] + request.marginMs() < bestLocalMs ? chosen : NONE;
    }

    private void estimate(
            List<? extends Candidate> candidates,
            Locality locality,
            PlacementRequest request,
            ServicePace service,
            int gatewayCount,
            long nowMs) {
        ensureCapacity(candidates.size());
        boolean triesUnknown = shouldTryUnknown(candidates, locality, service, nowMs);
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(i);
            EndpointLoad load = candidate.load();
            int slots = candidate.slots();
            isLocal[i] = locality.isLocal(candidate);
            requests[i] =
                    ExpectedFirstToken.requests(
                            load,
                            service,
                            slots,
                            isLocal[i],
                            isLocal[i] && triesUnknown,
                            gatewayCount,
                            nowMs);
            isOpen[i] = isLocal[i] || requests[i] + 1 <= slots;
            expectedMs[i] =
                    ExpectedFirstToken.expectedMs(
                                    load,
                                    service,
                                    slots,
                                    requests[i],
                                    request.promptTokens(),
                                    request.cachedTokens().at(load),
                                    nowMs)
                            + (isLocal[i] ? 0 : DataCentreMargin.ROUND_TRIP_MS);
            requests[i] /= slots;
        }
    }

    /**
     * Decides whether this request takes local endpoints of unknown load to be idle. All gateways
     * would try a new endpoint at once; with the probability that a random local endpoint is an
     * unknown one, they try it at its share of the rate of requests.
     */
    private boolean shouldTryUnknown(
            List<? extends Candidate> candidates,
            Locality locality,
            ServicePace service,
            long nowMs) {
        int localCount = 0;
        int unknownCount = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(i);
            if (locality.isLocal(candidate)) {
                localCount++;
                if (ExpectedFirstToken.isUnknown(candidate.load(), service, true, nowMs)) {
                    unknownCount++;
                }
            }
        }
        return unknownCount > 0 && random.nextInt(localCount) < unknownCount;
    }

    private void ensureCapacity(int count) {
        if (expectedMs.length < count) {
            expectedMs = new double[count];
            requests = new double[count];
            isLocal = new boolean[count];
            isOpen = new boolean[count];
            band = new int[count];
        }
    }

    private int findBest(int count, boolean local) {
        int best = NONE;
        for (int i = 0; i < count; i++) {
            if (isLocal[i] == local
                    && isOpen[i]
                    && (best == NONE || expectedMs[i] < expectedMs[best])) {
                best = i;
            }
        }
        return best;
    }

    /** Chooses among the endpoints of the same place that are near-equal to the best one. */
    private int chooseNearBest(
            List<? extends Candidate> candidates, PlacementRequest request, int best) {
        double maxMs = expectedMs[best] + request.toleranceMs();
        boolean isAffine = request.affinityKey().isPresent();
        int bandCount = 0;
        int cachedCount = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (isLocal[i] != isLocal[best] || !isOpen[i] || expectedMs[i] > maxMs) {
                continue;
            }
            boolean isCached = isAffine && request.cachedTokens().at(candidates.get(i).load()) > 0;
            if (isCached) {
                // Endpoints with a part of the prompt are kept at the front.
                band[bandCount++] = band[cachedCount];
                band[cachedCount++] = i;
            } else {
                band[bandCount++] = i;
            }
        }
        int count = cachedCount > 0 ? cachedCount : bandCount;
        // All gateways prefer the same one of near-equal endpoints, so that they share its cache.
        return isAffine && count > 1
                ? chooseByHash(candidates, request.affinityKey(), count)
                : chooseBetterOfTwo(count);
    }

    private int chooseByHash(
            List<? extends Candidate> candidates, Optional<String> affinityKey, int bandCount) {
        List<Integer> indices = new ArrayList<>(bandCount);
        for (int i = 0; i < bandCount; i++) {
            indices.add(band[i]);
        }
        return RendezvousHash.choose(
                        affinityKey.orElseThrow(),
                        indices,
                        index -> candidates.get(index).load().id().value())
                .orElseThrow();
    }

    private int chooseBetterOfTwo(int bandCount) {
        int first = band[random.nextInt(bandCount)];
        int second = band[random.nextInt(bandCount)];
        if (expectedMs[first] != expectedMs[second]) {
            return expectedMs[first] < expectedMs[second] ? first : second;
        }
        return requests[first] <= requests[second] ? first : second;
    }
}
