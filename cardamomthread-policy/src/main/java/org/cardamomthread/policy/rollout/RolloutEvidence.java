package org.cardamomthread.policy.rollout;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cardamomthread.core.id.RouteId;

/**
 * Holds the evidence that all nodes have collected during a rollout: cumulative call counts by
 * node, route, version and epoch, and whether an observer stopped the new version.
 *
 * <p>Immutable and thread-safe. Instances form a state-based CRDT: merging is commutative,
 * associative and idempotent, so that nodes may exchange them in any order and more than once. A
 * stop is never lost in a merge.
 */
public final class RolloutEvidence {

    /** Evidence without any calls or stop. */
    public static final RolloutEvidence EMPTY = new RolloutEvidence(Map.of(), null);

    private final Map<EvidenceKey, CallCounts> counts;
    private final StopNotice stop;

    private RolloutEvidence(Map<EvidenceKey, CallCounts> counts, StopNotice stop) {
        this.counts = counts;
        this.stop = stop;
    }

    /**
     * Creates evidence from call counts.
     *
     * @param counts call counts by key, which are copied
     * @return the evidence
     */
    public static RolloutEvidence of(Map<EvidenceKey, CallCounts> counts) {
        return new RolloutEvidence(Map.copyOf(counts), null);
    }

    /**
     * Merges the evidence of two nodes.
     *
     * @param other evidence of another node
     * @return merged evidence, with the higher counts for each key
     */
    public RolloutEvidence merge(RolloutEvidence other) {
        Map<EvidenceKey, CallCounts> merged = new HashMap<>(counts);
        other.counts.forEach((key, value) -> merged.merge(key, value, CallCounts::max));
        StopNotice mergedStop = stop;
        if (other.stop != null) {
            mergedStop = stop == null ? other.stop : stop.merge(other.stop);
        }
        return new RolloutEvidence(merged, mergedStop);
    }

    /**
     * Returns this evidence with an added stop.
     *
     * @param notice observer that stopped the new version, and its reason
     * @return evidence that includes the stop
     */
    public RolloutEvidence withStop(StopNotice notice) {
        return merge(new RolloutEvidence(Map.of(), notice));
    }

    /**
     * Returns the stop of the new version, if any.
     *
     * @return stop, or empty if no observer stopped the new version
     */
    public Optional<StopNotice> stop() {
        return Optional.ofNullable(stop);
    }

    /**
     * Returns the call counts by key.
     *
     * @return an unmodifiable map
     */
    public Map<EvidenceKey, CallCounts> counts() {
        return Collections.unmodifiableMap(counts);
    }

    /**
     * Returns the routes that received calls.
     *
     * @return routes in the order of their identifiers
     */
    public Set<RouteId> routes() {
        Set<RouteId> routes = new TreeSet<>();
        counts.keySet().forEach(key -> routes.add(key.route()));
        return routes;
    }

    /**
     * Returns the call counts of one route and version by epoch, summed over all nodes; calls of
     * later epochs are added to the last one.
     */
    CallCounts[] countsByEpoch(RouteId route, VersionRole role, int epochs) {
        CallCounts[] sums = new CallCounts[epochs];
        Arrays.fill(sums, CallCounts.NONE);
        counts.forEach(
                (key, value) -> {
                    if (key.role() == role && key.route().equals(route)) {
                        int epoch = Math.min(key.epoch(), epochs - 1);
                        sums[epoch] = sums[epoch].plus(value);
                    }
                });
        return sums;
    }

    /** Returns the call counts of a version, summed over nodes, routes and epochs. */
    CallCounts total(VersionRole role) {
        CallCounts sum = CallCounts.NONE;
        for (Map.Entry<EvidenceKey, CallCounts> entry : counts.entrySet()) {
            if (entry.getKey().role() == role) {
                sum = sum.plus(entry.getValue());
            }
        }
        return sum;
    }
}
