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
 * Holds the endpoints of one version by price group, cheapest group first. Guarded by the index.
 *
 * <p>The work of a sample is bounded by the number of groups, which is that of data centres times
 * price classes times endpoint classes and not that of endpoints.
 */
final class VersionCandidates {

    private static final Comparator<CandidateGroup> BY_PRICE =
            Comparator.comparingDouble(group -> group.key().pricePerHour());

    private final Map<CandidateGroup.Key, CandidateGroup> groups = new HashMap<>();
    private final List<CandidateGroup> byPrice = new ArrayList<>();

    CandidateGroup groupOf(EndpointCandidate candidate) {
        CandidateGroup.Key key = CandidateGroup.Key.of(candidate);
        CandidateGroup group = groups.get(key);
        if (group == null) {
            group = new CandidateGroup(key);
            groups.put(key, group);
            byPrice.add(group);
            byPrice.sort(BY_PRICE);
        }
        return group;
    }

    void dropGroupIfEmpty(CandidateGroup group) {
        if (group.isEmpty()) {
            groups.remove(group.key());
            byPrice.remove(group);
        }
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    /** Returns the number of endpoints with a credit. */
    int available() {
        int sum = 0;
        for (CandidateGroup group : byPrice) {
            sum += group.available();
        }
        return sum;
    }

    void addAll(List<EndpointCandidate> set) {
        for (CandidateGroup group : byPrice) {
            group.addAll(set);
        }
    }

    /** Adds samples of each group, cheapest first, and then of random groups, up to the most. */
    void addSample(
            List<EndpointCandidate> set,
            Set<EndpointId> chosen,
            int samplesPerGroup,
            int most,
            RandomGenerator random) {
        int cheapest = (most - set.size()) / 2;
        for (CandidateGroup group : byPrice) {
            if (cheapest < samplesPerGroup) {
                break;
            }
            int before = set.size();
            group.addSample(set, chosen, samplesPerGroup, random);
            cheapest -= set.size() - before;
        }
        int draws = most - set.size();
        for (int i = 0; i < draws; i++) {
            byPrice.get(random.nextInt(byPrice.size())).addSample(set, chosen, 1, random);
        }
    }
}
