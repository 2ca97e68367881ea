package org.cardamomthread.execution.job;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.execution.generated.JobOutcomeMessage;

/**
 * Represents the result of applying a job command.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind how the command was applied
 * @param attempt number of the job's assignments so far; 0 if the job does not exist
 */
public record JobOutcome(Kind kind, int attempt) {

    /** Result of applying a command. */
    public enum Kind {
        /** The command took effect, either now or when it was first applied. */
        APPLIED,
        /** The command refers to an attempt that has ended or to a job in a final state. */
        STALE,
        /** The job was never accepted or is no longer retained. */
        NO_SUCH_JOB
    }

    byte[] toBytes() {
        return JobOutcomeMessage.newBuilder()
                .setKind(kind.name())
                .setAttempt(attempt)
                .build()
                .toByteArray();
    }

    /**
     * Deserializes an outcome.
     *
     * @param bytes the value that {@link JobStateMachine#apply} returned
     * @return the outcome of the command
     * @throws IllegalArgumentException if the bytes are not a valid outcome
     */
    public static JobOutcome parse(byte[] bytes) {
        try {
            JobOutcomeMessage message = JobOutcomeMessage.parseFrom(bytes);
            return new JobOutcome(Kind.valueOf(message.getKind()), message.getAttempt());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the bytes are not a valid JobOutcomeMessage", e);
        }
    }
}
