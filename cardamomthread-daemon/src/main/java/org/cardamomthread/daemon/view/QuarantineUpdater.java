package org.cardamomthread.daemon.view;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.QuarantinedPart;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.policy.quarantine.PromptPartKey;

/**
 * Maintains a gateway's list of recorded prompt parts from the leader's responses.
 *
 * <p>Invariant: a part that one leader listed stays recorded until the next leader has been told of
 * it, since that one may not have seen the crashes. Not thread-safe.
 */
final class QuarantineUpdater {

    private final TimeSource timeSource;
    private final Map<PromptPartKey, KnownQuarantine> listed = new HashMap<>();

    /** The parts that the current leader has not been told of, or has not listed since. */
    private final Map<PromptPartKey, KnownQuarantine> unconfirmed = new HashMap<>();

    private String source = "";
    private long revision;
    private boolean isReported;

    QuarantineUpdater(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Adds the known revision to a request, and the parts that the leader must be told of. */
    void addKnown(ViewRequest.Builder request) {
        request.setQuarantineRevision(revision);
        isReported = !unconfirmed.isEmpty();
        long nowMs = timeSource.monotonicMs();
        unconfirmed
                .values()
                .forEach(
                        known ->
                                request.addQuarantined(
                                        QuarantineCodec.encode(known.entryAt(nowMs))));
    }

    /** Applies a response; returns the recorded parts. */
    Map<PromptPartKey, KnownQuarantine> apply(ViewResponse response) {
        boolean isNewSource = !response.getRegisterSource().equals(source);
        if (isNewSource) {
            unconfirmed.putAll(listed);
        } else if (isReported) {
            unconfirmed.clear();
        }
        isReported = false;
        source = response.getRegisterSource();
        revision = response.getQuarantineRevision();
        if (response.getQuarantineListed()) {
            listed.clear();
            response.getQuarantinedList().forEach(this::addListed);
        }
        Map<PromptPartKey, KnownQuarantine> all = new HashMap<>(unconfirmed);
        all.putAll(listed);
        return all;
    }

    private void addListed(QuarantinedPart message) {
        long nowMs = timeSource.monotonicMs();
        QuarantineCodec.decode(message)
                .ifPresent(
                        entry ->
                                listed.put(
                                        entry.key(),
                                        new KnownQuarantine(entry, nowMs + entry.trialWaitMs())));
    }
}
