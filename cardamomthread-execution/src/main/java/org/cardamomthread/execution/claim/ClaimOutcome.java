package org.cardamomthread.execution.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.cardamomthread.execution.generated.ClaimOutcomeMessage;

/**
 * Holds the answer to a claim command.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind what became of the command
 * @param answer the stored answer, only with {@link Kind#ALREADY_COMPLETED}
 * @param completed with {@link Kind#EXPIRED}, whether the call had completed
 */
public record ClaimOutcome(Kind kind, Optional<StoredAnswer> answer, boolean completed) {

    /** Names what became of a command. */
    public enum Kind {
        /** The asking attempt, and no other ever, may dispatch the call once. */
        GRANTED,
        /** The call has completed; its answer is stored. */
        ALREADY_COMPLETED,
        /** Another attempt holds the claim. */
        IN_PROGRESS,
        /** An attempt may have run the call. */
        UNKNOWN,
        /** The key was used with another request. */
        CONFLICT,
        /** The key was used longer ago than answers are kept. */
        EXPIRED,
        /** The asking attempt has given up before. */
        RELEASED,
        /** A command other than a claim took effect, now or when first applied. */
        APPLIED,
        /** A command other than a claim came too late or from another attempt. */
        IGNORED
    }

    static ClaimOutcome of(Kind kind) {
        return new ClaimOutcome(kind, Optional.empty(), false);
    }

    static ClaimOutcome alreadyCompleted(StoredAnswer answer) {
        return new ClaimOutcome(Kind.ALREADY_COMPLETED, Optional.of(answer), true);
    }

    static ClaimOutcome expired(boolean completed) {
        return new ClaimOutcome(Kind.EXPIRED, Optional.empty(), completed);
    }

    byte[] toBytes() {
        ClaimOutcomeMessage.Builder message =
                ClaimOutcomeMessage.newBuilder().setKind(kind.name()).setCompleted(completed);
        answer.ifPresent(value -> message.setAnswer(value.toMessage()));
        return message.build().toByteArray();
    }

    /**
     * Reads an outcome.
     *
     * @param bytes what {@link ClaimStateMachine#apply} returned
     * @return the outcome
     */
    public static ClaimOutcome parse(byte[] bytes) {
        try {
            ClaimOutcomeMessage message = ClaimOutcomeMessage.parseFrom(bytes);
            Optional<StoredAnswer> answer =
                    message.hasAnswer()
                            ? Optional.of(StoredAnswer.of(message.getAnswer()))
                            : Optional.empty();
            return new ClaimOutcome(
                    Kind.valueOf(message.getKind()), answer, message.getCompleted());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the bytes must hold a claim outcome", e);
        }
    }
}
