package org.cardamomthread.execution.job;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.execution.generated.JobOutcomeMessage;

/**
 * Holds the answer to a job command.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind what became of the command
 * @param attempt the job's attempts so far
 */
public record JobOutcome(Kind kind, int attempt) {

    /** Names what became of a command. */
    public enum Kind {
        /** It took effect, now or when first applied. */
        APPLIED,
        /** It belongs to an attempt that is over, or to a job that is final. */
        STALE,
        /** There is no such job. */
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
     * Reads an outcome.
     *
     * @param bytes what {@link JobStateMachine#apply} returned
     * @return the outcome
     */
    public static JobOutcome parse(byte[] bytes) {
        try {
            JobOutcomeMessage message = JobOutcomeMessage.parseFrom(bytes);
            return new JobOutcome(Kind.valueOf(message.getKind()), message.getAttempt());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the bytes must hold a job outcome", e);
        }
    }
}
