package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.routing.Selection;

/**
 * Remembers why the latest requests went where they went.
 *
 * <p>Invariant: holds at most {@value #MAX_REQUESTS} requests; older ones are dropped. Safe for use
 * by several threads.
 */
public final class ChoiceLog implements PlacementObserver {

    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_CHOICES_PER_REQUEST = 20;

    private final Map<RequestId, List<String>> choices =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<RequestId, List<String>> eldest) {
                    return size() > MAX_REQUESTS;
                }
            };

    @Override
    public synchronized void observe(PlacementRequest request, Selection selection) {
        List<String> lines = choices.computeIfAbsent(request.requestId(), id -> new ArrayList<>());
        if (lines.size() < MAX_CHOICES_PER_REQUEST) {
            lines.add(describe(selection));
        }
    }

    /**
     * Returns the choices made for a request on this node.
     *
     * @param request the request
     * @return one line a choice, in order; empty if the request is unknown or too old
     */
    public synchronized List<String> explain(RequestId request) {
        return List.copyOf(choices.getOrDefault(request, List.of()));
    }

    private static String describe(Selection selection) {
        return selection
                .chosen()
                .map(chosen -> "chose " + chosen.id() + ": " + selection.score().orElseThrow())
                .orElseGet(() -> "refused: " + selection.refusal().orElseThrow());
    }
}
