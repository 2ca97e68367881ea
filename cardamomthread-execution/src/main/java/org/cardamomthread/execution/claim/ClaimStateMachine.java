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
 * Replicated state machine that decides which attempt may dispatch a non-idempotent call.
 *
 * <p>Invariants: a key is granted to an attempt only if no other attempt holds a grant that it has
 * not released; an attempt that has released its claim is never granted again; a stored response
 * does not change; a key whose outcome is unknown remains so until its response is stored. Commands
 * are idempotent.
 *
 * <p>Only {@link ClaimCommand.Expire} advances the time by which claims expire, each time by at
 * most one hour, so that a single wrong clock does not remove used keys. Not thread-safe: the log
 * applies commands one at a time.
 */
public final class ClaimStateMachine implements StateMachine {

    private static final long MAX_CLOCK_ADVANCE_MS = 3_600_000;

    private final ClaimSettings settings;
    private final Map<ClaimKey, ClaimRecord> records = new LinkedHashMap<>();
    private final Map<String, Long> releasedAttempts = new LinkedHashMap<>();
    private long logTimeMs;

    /**
     * Creates a state machine without claims.
     *
     * @param settings retention times; must be the same on every replica
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
        ClaimRecord existing = records.get(claim.key());
        if (existing == null) {
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
        if (existing.state().isExpired()) {
            return ClaimOutcome.expired(existing.state() == ClaimState.EXPIRED_COMPLETED);
        }
        if (!existing.requestDigest().equals(claim.requestDigest())) {
            return ClaimOutcome.of(Kind.CONFLICT);
        }
        return switch (existing.state()) {
            case COMPLETED -> ClaimOutcome.alreadyCompleted(existing.response().orElseThrow());
            case UNKNOWN -> ClaimOutcome.of(Kind.UNKNOWN);
            default ->
                    ClaimOutcome.of(
                            existing.attemptId().equals(claim.attemptId())
                                    ? Kind.GRANTED
                                    : Kind.IN_PROGRESS);
        };
    }

    private ClaimOutcome release(ClaimCommand.Release release) {
        ClaimRecord existing = records.get(release.key());
        boolean isHolder = existing != null && existing.attemptId().equals(release.attemptId());
        if (isHolder && existing.state() != ClaimState.CLAIMED) {
            return ClaimOutcome.of(Kind.IGNORED);
        }
        if (isHolder) {
            records.remove(release.key());
        }
        releasedAttempts.putIfAbsent(release.attemptId(), release.atMs());
        return ClaimOutcome.of(Kind.APPLIED);
    }

    private ClaimOutcome complete(ClaimCommand.Complete complete) {
        ClaimRecord existing = records.get(complete.key());
        if (existing == null || !existing.attemptId().equals(complete.attemptId())) {
            return ClaimOutcome.of(Kind.IGNORED);
        }
        if (existing.state() == ClaimState.CLAIMED || existing.state() == ClaimState.UNKNOWN) {
            records.put(complete.key(), existing.toCompleted(complete.response()));
            return ClaimOutcome.of(Kind.APPLIED);
        }
        boolean sameResponse = existing.response().equals(Optional.of(complete.response()));
        return ClaimOutcome.of(sameResponse ? Kind.APPLIED : Kind.IGNORED);
    }

    private ClaimOutcome markUnknown(ClaimCommand.MarkUnknown unknown) {
        ClaimRecord existing = records.get(unknown.key());
        boolean isHolder = existing != null && existing.attemptId().equals(unknown.attemptId());
        if (!isHolder || existing.state() == ClaimState.COMPLETED || existing.state().isExpired()) {
            return ClaimOutcome.of(Kind.IGNORED);
        }
        records.put(unknown.key(), existing.withState(ClaimState.UNKNOWN));
        return ClaimOutcome.of(Kind.APPLIED);
    }

    private ClaimOutcome expire(ClaimCommand.Expire expire) {
        long maxTimeMs = logTimeMs == 0 ? Long.MAX_VALUE : logTimeMs + MAX_CLOCK_ADVANCE_MS;
        logTimeMs = Math.max(logTimeMs, Math.min(expire.atMs(), maxTimeMs));
        releasedAttempts
                .values()
                .removeIf(atMs -> logTimeMs - atMs > settings.responseRetentionMs());
        records.values().removeIf(record -> ageMs(record) > settings.keyRetentionMs());
        records.replaceAll((key, record) -> expireIfDue(record));
        return ClaimOutcome.of(Kind.APPLIED);
    }

    private ClaimRecord expireIfDue(ClaimRecord record) {
        if (record.state().isExpired()) {
            return record;
        }
        boolean completed = record.state() == ClaimState.COMPLETED;
        if (ageMs(record) > settings.responseRetentionMs()) {
            return record.toExpired(
                    completed ? ClaimState.EXPIRED_COMPLETED : ClaimState.EXPIRED_UNKNOWN);
        }
        boolean overdue =
                record.state() == ClaimState.CLAIMED && ageMs(record) > settings.maxInProgressMs();
        return overdue ? record.withState(ClaimState.UNKNOWN) : record;
    }

    private long ageMs(ClaimRecord record) {
        return logTimeMs - record.claimedAtMs();
    }

    /**
     * Returns commands that mark the open claims of a gateway as unknown, to be proposed once the
     * process of that gateway has ended.
     *
     * @param gateway node whose process has ended
     * @param atMs time to set in the commands
     * @return one command for each open claim
     */
    public List<ClaimCommand> markUnknownCommandsFor(NodeId gateway, long atMs) {
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
     * Returns the number of keys that are retained.
     *
     * @return number of claimed, unknown, completed and expired keys
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
            throw new IllegalArgumentException("the state is not a valid ClaimSnapshotMessage", e);
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
