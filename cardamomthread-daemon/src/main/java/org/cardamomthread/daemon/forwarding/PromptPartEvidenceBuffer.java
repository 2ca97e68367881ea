package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.EndpointIncarnation;
import org.cardamomthread.daemon.view.QuarantineCodec;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence.Kind;
import org.cardamomthread.policy.quarantine.PromptPartKey;

/**
 * Holds evidence on prompt parts until the leader has acknowledged it.
 *
 * <p>Invariants: at most {@value #MAX_ITEMS} items are held; the oldest are dropped, which is
 * logged. At most {@value #MAX_TRIAL_RELEASES} of them are releases of trials, which end by
 * themselves, so that rejected requests cannot displace what was seen of a part. An item that
 * repeats another one replaces it, except that a loss keeps the time at which it was first seen.
 * Not thread-safe.
 */
final class PromptPartEvidenceBuffer {

    static final int MAX_ITEMS = 512;
    static final int MAX_TRIAL_RELEASES = 64;

    private final TimeSource timeSource;
    private final ForwardingLog log;
    private final Map<Item, Occurrence> items = new LinkedHashMap<>();
    private long sequence;
    private long reportedSequence;
    private long dropped;

    /** Identifies evidence; fields that a kind does not have are empty. */
    private record Item(
            Kind kind, PromptPartKey part, Optional<EndpointIncarnation> endpoint, String trial) {}

    private record Occurrence(long atMs, boolean isVouched, long sequence) {}

    PromptPartEvidenceBuffer(TimeSource timeSource, ForwardingLog log) {
        this.timeSource = timeSource;
        this.log = log;
    }

    void addLoss(
            PromptPartKey part, EndpointIncarnation endpoint, String trial, boolean isVouched) {
        Item item = new Item(Kind.LOST, part, Optional.of(endpoint), trial);
        if (!items.containsKey(item)) {
            add(item, isVouched);
        }
    }

    void addAnswer(PromptPartKey part) {
        add(new Item(Kind.ANSWERED, part, Optional.empty(), ""), false);
    }

    void addTrialRelease(PromptPartKey part, String trial) {
        long releases =
                items.keySet().stream().filter(item -> item.kind() == Kind.TRIAL_RELEASED).count();
        if (releases >= MAX_TRIAL_RELEASES) {
            dropped++;
            return;
        }
        add(new Item(Kind.TRIAL_RELEASED, part, Optional.empty(), trial), false);
    }

    /** Returns the parts whose losses have not been acknowledged yet. */
    Set<PromptPartKey> lostParts() {
        return items.keySet().stream()
                .filter(item -> item.kind() == Kind.LOST)
                .map(Item::part)
                .collect(Collectors.toSet());
    }

    /** Returns all items for a report, of which {@link #acknowledge} confirms the arrival. */
    List<PromptPartEvidence> report() {
        reportedSequence = sequence;
        return encode();
    }

    /** Removes the items of the last report. */
    void acknowledge() {
        items.values().removeIf(occurrence -> occurrence.sequence() <= reportedSequence);
        if (dropped > 0) {
            log.logDroppedEvidence(dropped, MAX_ITEMS);
            dropped = 0;
        }
    }

    /** Returns all items as messages. */
    List<PromptPartEvidence> encode() {
        long nowMs = timeSource.monotonicMs();
        List<PromptPartEvidence> messages = new ArrayList<>(items.size());
        items.forEach((item, occurrence) -> messages.add(encode(item, occurrence, nowMs)));
        return messages;
    }

    private static PromptPartEvidence encode(Item item, Occurrence occurrence, long nowMs) {
        PromptPartEvidence.Builder message =
                QuarantineCodec.createEvidence(item.kind(), item.part()).toBuilder()
                        .setTrial(item.trial())
                        .setVouched(occurrence.isVouched())
                        .setAgeMs(nowMs - occurrence.atMs());
        item.endpoint()
                .ifPresent(
                        incarnation ->
                                message.setEndpoint(incarnation.endpoint().value())
                                        .setStartMs(incarnation.startTimeMs()));
        return message.build();
    }

    private void add(Item item, boolean isVouched) {
        items.remove(item);
        if (items.size() >= MAX_ITEMS) {
            Iterator<Item> oldest = items.keySet().iterator();
            oldest.next();
            oldest.remove();
            dropped++;
        }
        sequence++;
        items.put(item, new Occurrence(timeSource.monotonicMs(), isVouched, sequence));
    }
}
