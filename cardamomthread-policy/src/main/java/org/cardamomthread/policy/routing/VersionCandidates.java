package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.EndpointId;

/**
 * Holds the endpoints of one version in price groups, the cheapest group first. Guarded by the lock
 * of {@link CandidateIndex}.
 *
 * <p>The cost of sampling is bounded by the number of groups, which is at most the product of the
 * numbers of data centres, price classes and endpoint classes, whatever the number of endpoints.
 */
final class VersionCandidates {

    private static final Comparator<CandidateGroup> BY_PRICE =
            Comparator.comparingDouble(group -> group.key().pricePerHour());

    private final Map<CandidateGroup.Key, CandidateGroup> groups = new HashMap<>();
    private final List<CandidateGroup> groupsByPrice = new ArrayList<>();

    CandidateGroup getOrCreateGroup(EndpointCandidate candidate) {
        CandidateGroup.Key key = CandidateGroup.Key.of(candidate);
        CandidateGroup group = groups.get(key);
        if (group == null) {
            group = new CandidateGroup(key);
            groups.put(key, group);
            groupsByPrice.add(group);
            groupsByPrice.sort(BY_PRICE);
        }
        return group;
    }

    void removeGroupIfEmpty(CandidateGroup group) {
        if (group.isEmpty()) {
            groups.remove(group.key());
            groupsByPrice.remove(group);
        }
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    /** Returns the number of endpoints with a credit. */
    int availableCount() {
        int sum = 0;
        for (CandidateGroup group : groupsByPrice) {
            sum += group.availableCount();
        }
        return sum;
    }

    void addAll(List<EndpointCandidate> candidates) {
        for (CandidateGroup group : groupsByPrice) {
            group.addAll(candidates);
        }
    }

    /**
     * Adds a sample of each group, the cheapest first, until half of the free positions are filled,
     * and then fills the rest from groups chosen at random.
     */
    void addSample(
            List<EndpointCandidate> candidates,
            Set<EndpointId> selectedIds,
            int samplesPerGroup,
            int maxCandidates,
            RandomGenerator random) {
        int cheapestFirstQuota = (maxCandidates - candidates.size()) / 2;
        for (CandidateGroup group : groupsByPrice) {
            if (cheapestFirstQuota < samplesPerGroup) {
                break;
            }
            int sizeBefore = candidates.size();
            group.addSample(candidates, selectedIds, samplesPerGroup, random);
            cheapestFirstQuota -= candidates.size() - sizeBefore;
        }
        int randomDraws = maxCandidates - candidates.size();
        for (int i = 0; i < randomDraws; i++) {
            groupsByPrice
                    .get(random.nextInt(groupsByPrice.size()))
                    .addSample(candidates, selectedIds, 1, random);
        }
    }
}
