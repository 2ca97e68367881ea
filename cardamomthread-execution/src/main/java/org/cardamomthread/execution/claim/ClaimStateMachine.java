package org.cardamomthread.execution.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.execution.claim.ClaimOutcome.Kind;
import org.cardamomthread.execution.generated.ClaimRecordMessage;
import org.cardamomthread.execution.generated.ClaimSnapshotMessage;
import org.cardamomthread.execution.generated.ReleasedAttemptMessage;
import org.cardamomthread.replication.StateMachine;

/**
 * Decides which attempt may dispatch a call that may not be repeated.
 *
 * <p>Invariants: for each key at most one attempt is ever granted while another that was granted
 * has not released; an attempt that released is never granted; an answer, once stored, does not
 * change; a key in doubt stays so until its answer is stored. A command applied twice has one
 * effect.
 *
 * <p>Expiry follows the times of {@link ClaimCommand.Expire} only, and each of these advances it by
 * at most an hour, so that one wrong clock does not forget used keys. Not safe for use by several
 * threads: the log applies commands one at a time.
 */
public final class ClaimStateMachine implements StateMachine {

    private static final long MAX_CLOCK_ADVANCE_MS = 3_600_000;

    private final ClaimSettings settings;
    private final Map<ClaimKey, ClaimRecord> records = new LinkedHashMap<>();
    private final Map<String, Long> releasedAttempts = new LinkedHashMap<>();
    private long logTimeMs;

    /**
     * Creates a machine without claims.
     *
     * @param settings how long claims are kept
     */
    public ClaimStateMachine(ClaimSettings settings) {
        this.settings = settings;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return apply(ClaimCommand.parse(command)).toBytes();
    }

    private ClaimOutcome apply(ClaimCommand command) {
        if (command instanceof ClaimCommand.Claim claim) {
            return claim(claim);
        }
        if (command instanceof ClaimCommand.Release release) {
            return release(release);
        }
        if (command instanceof ClaimCommand.Complete complete) {
            return complete(complete);
        }
        if (command instanceof ClaimCommand.MarkUnknown unknown) {
            return markUnknown(unknown);
        }
        return expire((ClaimCommand.Expire) command);
    }

    private ClaimOutcome claim(ClaimCommand.Claim claim) {
        if (releasedAttempts.containsKey(claim.attemptId())) {
            return ClaimOutcome.of(Kind.RELEASED);
        }
        ClaimRecord present = records.get(claim.key());
        if (present == null) {
            records.put(
                    claim.key(),
                    new ClaimRecord(
                            claim.requestDigest(),
                            claim.gateway(),
                            claim.attemptId(),
                            claim.atMs(),
                            ClaimState.CLAIMED,
                            Optional.empty()));
            return ClaimOutcome.of(Kind.GRANTED);
        }
        if (present.state().isExpired()) {
            return ClaimOutcome.expired(present.state() == ClaimState.EXPIRED_COMPLETED);
        }
        if (!present.requestDigest().equals(claim.requestDigest())) {
            return ClaimOutcome.of(Kind.CONFLICT);
        }
        return switch (present.state()) {
            case COMPLETED -> ClaimOutcome.alreadyCompleted(present.answer().orElseThrow());
            case UNKNOWN -> ClaimOutcome.of(Kind.UNKNOWN);
            default ->
                    ClaimOutcome.of(
                            present.attemptId().equals(claim.attemptId())
                                    ? Kind.GRANTED
                                    : Kind.IN_PROGRESS);
        };
    }

    private ClaimOutcome release(ClaimCommand.Release release) {
        ClaimRecord present = records.get(release.key());
        boolean held = present != null && present.attemptId().equals(release.attemptId());
        if (held && present.state() != ClaimState.CLAIMED) {
            return ClaimOutcome.of(Kind.IGNORED);
        }
        if (held) {
            records.remove(release.key());
        }
        releasedAttempts.putIfAbsent(release.attemptId(), release.atMs());
        return ClaimOutcome.of(Kind.APPLIED);
    }

    private ClaimOutcome complete(ClaimCommand.Complete complete) {
        ClaimRecord present = records.get(complete.key());
        if (present == null || !present.attemptId().equals(complete.attemptId())) {
            return ClaimOutcome.of(Kind.IGNORED);
        }
        if (present.state() == ClaimState.CLAIMED || present.state() == ClaimState.UNKNOWN) {
            records.put(complete.key(), present.toCompleted(complete.answer()));
            return ClaimOutcome.of(Kind.APPLIED);
        }
        boolean same = present.answer().equals(Optional.of(complete.answer()));
        return ClaimOutcome.of(same ? Kind.APPLIED : Kind.IGNORED);
    }

    private ClaimOutcome markUnknown(ClaimCommand.MarkUnknown unknown) {
        ClaimRecord present = records.get(unknown.key());
        boolean held = present != null && present.attemptId().equals(unknown.attemptId());
        if (!held || present.state() == ClaimState.COMPLETED || present.state().isExpired()) {
            return ClaimOutcome.of(Kind.IGNORED);
        }
        records.put(unknown.key(), present.withState(ClaimState.UNKNOWN));
        return ClaimOutcome.of(Kind.APPLIED);
    }

    private ClaimOutcome expire(ClaimCommand.Expire expire) {
        long limitMs = logTimeMs == 0 ? Long.MAX_VALUE : logTimeMs + MAX_CLOCK_ADVANCE_MS;
        logTimeMs = Math.max(logTimeMs, Math.min(expire.atMs(), limitMs));
        releasedAttempts.values().removeIf(atMs -> logTimeMs - atMs > settings.answerMs());
        records.values().removeIf(record -> ageMs(record) > settings.refusalMs());
        records.replaceAll((key, record) -> expireIfDue(record));
        return ClaimOutcome.of(Kind.APPLIED);
    }

    private ClaimRecord expireIfDue(ClaimRecord record) {
        if (record.state().isExpired()) {
            return record;
        }
        boolean completed = record.state() == ClaimState.COMPLETED;
        if (ageMs(record) > settings.answerMs()) {
            return record.toExpired(
                    completed ? ClaimState.EXPIRED_COMPLETED : ClaimState.EXPIRED_UNKNOWN);
        }
        boolean overdue =
                record.state() == ClaimState.CLAIMED && ageMs(record) > settings.inProgressMs();
        return overdue ? record.withState(ClaimState.UNKNOWN) : record;
    }

    private long ageMs(ClaimRecord record) {
        return logTimeMs - record.claimedAtMs();
    }

    /**
     * Returns commands that mark the open claims of a gateway as unknown, for use once that
     * gateway's process has ended.
     *
     * @param gateway the gateway
     * @param atMs the time to state
     * @return one command for each open claim
     */
    public List<ClaimCommand> markUnknownClaimsOf(NodeId gateway, long atMs) {
        List<ClaimCommand> commands = new ArrayList<>();
        records.forEach(
                (key, record) -> {
                    boolean open = record.state() == ClaimState.CLAIMED;
                    if (open && record.gateway().equals(gateway)) {
                        commands.add(new ClaimCommand.MarkUnknown(key, record.attemptId(), atMs));
                    }
                });
        return commands;
    }

    /**
     * Returns the number of keys held.
     *
     * @return claimed, unknown, completed and expired ones
     */
    public int size() {
        return records.size();
    }

    @Override
    public byte[] snapshot() {
        ClaimSnapshotMessage.Builder snapshot =
                ClaimSnapshotMessage.newBuilder().setHighestAtMs(logTimeMs);
        records.forEach((key, record) -> snapshot.addRecords(record.toMessage(key)));
        releasedAttempts.forEach(
                (attemptId, atMs) ->
                        snapshot.addReleased(
                                ReleasedAttemptMessage.newBuilder()
                                        .setAttemptId(attemptId)
                                        .setAtMs(atMs)));
        return snapshot.build().toByteArray();
    }

    @Override
    public void restore(byte[] state) {
        ClaimSnapshotMessage snapshot;
        try {
            snapshot = ClaimSnapshotMessage.parseFrom(state);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the state must be a snapshot of claims", e);
        }
        records.clear();
        releasedAttempts.clear();
        logTimeMs = snapshot.getHighestAtMs();
        for (ClaimRecordMessage message : snapshot.getRecordsList()) {
            records.put(ClaimKey.fromMessage(message.getKey()), ClaimRecord.fromMessage(message));
        }
        snapshot.getReleasedList()
                .forEach(
                        message -> releasedAttempts.put(message.getAttemptId(), message.getAtMs()));
    }
}
