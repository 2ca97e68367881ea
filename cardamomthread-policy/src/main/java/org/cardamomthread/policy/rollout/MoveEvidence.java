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
 * Holds what all nodes know of a move: growing counts by node, route, version and epoch, and
 * whether an observer stopped the new version.
 *
 * <p>Immutable and safe for use by several threads. Merging is commutative, associative and
 * idempotent, so that states may be exchanged in any order and more than once. A stop never
 * disappears.
 */
public final class MoveEvidence {

    /** Nothing is known. */
    public static final MoveEvidence EMPTY = new MoveEvidence(Map.of(), null);

    private final Map<EvidenceKey, CallCounts> counts;
    private final StopNotice stop;

    private MoveEvidence(Map<EvidenceKey, CallCounts> counts, StopNotice stop) {
        this.counts = counts;
        this.stop = stop;
    }

    /**
     * Creates evidence from counts.
     *
     * @param counts counts by key, copied
     * @return the evidence
     */
    public static MoveEvidence of(Map<EvidenceKey, CallCounts> counts) {
        return new MoveEvidence(Map.copyOf(counts), null);
    }

    /**
     * Joins the knowledge of two nodes.
     *
     * @param other what another node knows
     * @return the union, with the later counts of each key
     */
    public MoveEvidence merge(MoveEvidence other) {
        Map<EvidenceKey, CallCounts> merged = new HashMap<>(counts);
        other.counts.forEach((key, value) -> merged.merge(key, value, CallCounts::max));
        StopNotice joined = stop;
        if (other.stop != null) {
            joined = stop == null ? other.stop : stop.join(other.stop);
        }
        return new MoveEvidence(merged, joined);
    }

    /**
     * Adds a stop.
     *
     * @param notice who stopped the version and why
     * @return the evidence with the stop
     */
    public MoveEvidence stopped(StopNotice notice) {
        return merge(new MoveEvidence(Map.of(), notice));
    }

    /**
     * Returns the stop, if there is one.
     *
     * @return the stop or empty
     */
    public Optional<StopNotice> stop() {
        return Optional.ofNullable(stop);
    }

    /**
     * Returns the counts by key.
     *
     * @return an unmodifiable map
     */
    public Map<EvidenceKey, CallCounts> counts() {
        return Collections.unmodifiableMap(counts);
    }

    /**
     * Returns the routes with any calls.
     *
     * @return routes in order
     */
    public Set<RouteId> routes() {
        Set<RouteId> routes = new TreeSet<>();
        counts.keySet().forEach(key -> routes.add(key.route()));
        return routes;
    }

    /** Returns the counts of one route and version by epoch, summed over the nodes. */
    CallCounts[] byEpoch(RouteId route, VersionRole role, int epochs) {
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

    /** Returns the sum of all calls to a version. */
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
