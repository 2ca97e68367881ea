package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/**
 * Indexes the endpoints of one service and selects a bounded number of candidates for a request.
 *
 * <p>The cost of an update does not depend on the number of endpoints. At most {@value
 * #MAX_CANDIDATES} candidates are returned, all with a credit. If there are more, the result
 * contains the endpoints that probably have the prompt cached and a random sample of each price
 * group, the cheapest groups first. Thread-safe: all methods synchronize on the index.
 */
public final class CandidateIndex {

    /** Maximum number of candidates for a request. */
    public static final int MAX_CANDIDATES = 48;

    private static final int MAX_PREFIX_HOLDERS = 8;

    /** Number of random draws from each price group. */
    private static final int SAMPLES_PER_GROUP = 3;

    private final Map<EndpointId, CandidateEntry> entries = new HashMap<>();
    private final Map<VersionId, VersionCandidates> versions = new HashMap<>();
    private final PrefixCacheEstimator prefixes;

    /**
     * Creates an empty index.
     *
     * @param prefixes estimates what the endpoints have cached
     */
    public CandidateIndex(PrefixCacheEstimator prefixes) {
        this.prefixes = prefixes;
    }

    /**
     * Adds an endpoint or replaces its state.
     *
     * @param candidate current state of the endpoint
     */
    public synchronized void put(EndpointCandidate candidate) {
        CandidateEntry entry = entries.get(candidate.id());
        if (entry != null && !entry.hasSameGroupAs(candidate)) {
            remove(candidate.id());
            entry = null;
        }
        if (entry == null) {
            VersionCandidates version =
                    versions.computeIfAbsent(candidate.version(), id -> new VersionCandidates());
            entry = new CandidateEntry(version.getOrCreateGroup(candidate), candidate);
            entries.put(candidate.id(), entry);
        }
        entry.update(candidate);
    }

    /** Removes an endpoint. */
    public synchronized void remove(EndpointId id) {
        CandidateEntry entry = entries.remove(id);
        if (entry != null) {
            entry.removeFromGroup();
            VersionId versionId = entry.candidate().version();
            VersionCandidates version = versions.get(versionId);
            version.removeGroupIfEmpty(entry.group());
            if (version.isEmpty()) {
                versions.remove(versionId);
            }
        }
    }

    /**
     * Returns the state of an endpoint.
     *
     * @return current state, or empty if the endpoint is not in the index
     */
    public synchronized Optional<EndpointCandidate> get(EndpointId id) {
        return Optional.ofNullable(entries.get(id)).map(CandidateEntry::candidate);
    }

    /**
     * Returns the number of endpoints in the index.
     *
     * @return number of endpoints, at least zero
     */
    public synchronized int size() {
        return entries.size();
    }

    /**
     * Returns the candidates for a request. If no endpoint of the requested version has a credit,
     * arbitrary other endpoints are returned, so that the refusal can state the reason.
     *
     * @param nowMs monotonic time, in milliseconds
     * @param random source of randomness for the sample
     * @return list of at most {@value #MAX_CANDIDATES} endpoints
     */
    public synchronized List<EndpointCandidate> selectCandidates(
            SelectionRequest request, long nowMs, RandomGenerator random) {
        VersionCandidates version = versions.get(request.version());
        if (version == null || version.availableCount() == 0) {
            return arbitraryCandidates();
        }
        List<EndpointCandidate> candidates = new ArrayList<>(MAX_CANDIDATES);
        if (version.availableCount() <= MAX_CANDIDATES) {
            version.addAll(candidates);
            return candidates;
        }
        Set<EndpointId> selectedIds = new LinkedHashSet<>();
        addPrefixHolders(request, nowMs, selectedIds, candidates);
        version.addSample(candidates, selectedIds, SAMPLES_PER_GROUP, MAX_CANDIDATES, random);
        return candidates;
    }

    private void addPrefixHolders(
            SelectionRequest request,
            long nowMs,
            Set<EndpointId> selectedIds,
            List<EndpointCandidate> candidates) {
        for (EndpointId id : prefixes.likelyHolders(request.prefix(), MAX_PREFIX_HOLDERS, nowMs)) {
            CandidateEntry entry = entries.get(id);
            if (entry != null
                    && entry.candidate().credits() > 0
                    && entry.candidate().version().equals(request.version())
                    && selectedIds.add(id)) {
                candidates.add(entry.candidate());
            }
        }
    }

    private List<EndpointCandidate> arbitraryCandidates() {
        return entries.values().stream()
                .limit(MAX_CANDIDATES)
                .map(CandidateEntry::candidate)
                .toList();
    }
}
