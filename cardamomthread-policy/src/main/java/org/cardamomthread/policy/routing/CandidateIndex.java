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
 * Holds the endpoints of one service and gives a bounded set of candidates for a request.
 *
 * <p>Invariants: an update costs the same whatever the number of endpoints; a set has at most
 * {@value #MOST_CANDIDATES} candidates, all with a credit. Up to that number of endpoints the set
 * is complete. Beyond it, it holds the endpoints that probably cache the prompt and a random sample
 * of each price group, cheapest groups first. Safe for use by several threads; all methods lock the
 * index.
 */
public final class CandidateIndex {

    /** The most candidates in a set. */
    public static final int MOST_CANDIDATES = 48;

    private static final int MOST_PREFIX_HOLDERS = 8;
    private static final int SAMPLES_PER_GROUP = 3;

    private final Map<EndpointId, CandidateEntry> entries = new HashMap<>();
    private final Map<VersionId, VersionCandidates> versions = new HashMap<>();
    private final PrefixKnowledge prefixes;

    /**
     * Creates an empty index.
     *
     * @param prefixes what is known of the endpoints' prefix caches
     */
    public CandidateIndex(PrefixKnowledge prefixes) {
        this.prefixes = prefixes;
    }

    /**
     * Adds an endpoint or replaces what is known of it.
     *
     * @param candidate the endpoint's present state
     */
    public synchronized void put(EndpointCandidate candidate) {
        CandidateEntry entry = entries.get(candidate.id());
        if (entry != null && !entry.belongsWith(candidate)) {
            remove(candidate.id());
            entry = null;
        }
        if (entry == null) {
            VersionCandidates version =
                    versions.computeIfAbsent(candidate.version(), id -> new VersionCandidates());
            entry = new CandidateEntry(version.groupOf(candidate), candidate);
            entries.put(candidate.id(), entry);
        }
        entry.update(candidate);
    }

    /**
     * Removes an endpoint.
     *
     * @param id the endpoint
     */
    public synchronized void remove(EndpointId id) {
        CandidateEntry entry = entries.remove(id);
        if (entry != null) {
            entry.leave();
            VersionId versionId = entry.candidate().version();
            VersionCandidates version = versions.get(versionId);
            version.dropGroupIfEmpty(entry.group());
            if (version.isEmpty()) {
                versions.remove(versionId);
            }
        }
    }

    /**
     * Returns what is known of an endpoint.
     *
     * @param id the endpoint
     * @return its state, or empty if it is not in the index
     */
    public synchronized Optional<EndpointCandidate> get(EndpointId id) {
        return Optional.ofNullable(entries.get(id)).map(CandidateEntry::candidate);
    }

    /**
     * Returns the number of endpoints.
     *
     * @return zero or more
     */
    public synchronized int size() {
        return entries.size();
    }

    /**
     * Gives the candidates for a request. Without any endpoint of the version with a credit it
     * returns some others, so that a refusal can state the reason.
     *
     * @param request the request
     * @param nowMs monotonic time, in milliseconds
     * @param random source for the sample
     * @return at most {@value #MOST_CANDIDATES} endpoints
     */
    public synchronized List<EndpointCandidate> candidates(
            SelectionRequest request, long nowMs, RandomGenerator random) {
        VersionCandidates version = versions.get(request.version());
        if (version == null || version.available() == 0) {
            return anySample();
        }
        List<EndpointCandidate> set = new ArrayList<>(MOST_CANDIDATES);
        if (version.available() <= MOST_CANDIDATES) {
            version.addAll(set);
            return set;
        }
        Set<EndpointId> chosen = new LinkedHashSet<>();
        addPrefixHolders(request, nowMs, chosen, set);
        version.addSample(set, chosen, SAMPLES_PER_GROUP, MOST_CANDIDATES, random);
        return set;
    }

    private void addPrefixHolders(
            SelectionRequest request,
            long nowMs,
            Set<EndpointId> chosen,
            List<EndpointCandidate> set) {
        for (EndpointId id : prefixes.likelyHolders(request.prefix(), MOST_PREFIX_HOLDERS, nowMs)) {
            CandidateEntry entry = entries.get(id);
            if (entry != null
                    && entry.candidate().credits() > 0
                    && entry.candidate().version().equals(request.version())
                    && chosen.add(id)) {
                set.add(entry.candidate());
            }
        }
    }

    private List<EndpointCandidate> anySample() {
        return entries.values().stream()
                .limit(MOST_CANDIDATES)
                .map(CandidateEntry::candidate)
                .toList();
    }
}
