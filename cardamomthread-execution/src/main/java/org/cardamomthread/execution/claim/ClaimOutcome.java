package org.cardamomthread.execution.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.cardamomthread.execution.generated.ClaimOutcomeMessage;

/**
 * Represents the result of applying a claim command.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind how the command was applied
 * @param answer stored response; present only for {@link Kind#ALREADY_COMPLETED}
 * @param completed for {@link Kind#EXPIRED}, whether the call had completed
 */
public record ClaimOutcome(Kind kind, Optional<StoredResponse> answer, boolean completed) {

    /** Result of applying a command. */
    public enum Kind {
        /** The requesting attempt may dispatch the call once; no other attempt ever may. */
        GRANTED,
        /** The call has completed, and its response is stored. */
        ALREADY_COMPLETED,
        /** Another attempt holds the claim. */
        IN_PROGRESS,
        /** An attempt may have executed the call. */
        UNKNOWN,
        /** The key was used with a different request. */
        CONFLICT,
        /** The key was used so long ago that its response is no longer retained. */
        EXPIRED,
        /** The attempt that asked has already released the claim. */
        RELEASED,
        /** A command other than a claim took effect, either now or when it was first applied. */
        APPLIED,
        /** A command other than a claim arrived too late or came from another attempt. */
        IGNORED
    }

    static ClaimOutcome of(Kind kind) {
        return new ClaimOutcome(kind, Optional.empty(), false);
    }

    static ClaimOutcome alreadyCompleted(StoredResponse answer) {
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
     * Deserializes an outcome.
     *
     * @param bytes the value that {@link ClaimStateMachine#apply} returned
     * @return the outcome of the command
     * @throws IllegalArgumentException if the bytes are not a valid outcome
     */
    public static ClaimOutcome parse(byte[] bytes) {
        try {
            ClaimOutcomeMessage message = ClaimOutcomeMessage.parseFrom(bytes);
            Optional<StoredResponse> answer =
                    message.hasAnswer()
                            ? Optional.of(StoredResponse.of(message.getAnswer()))
                            : Optional.empty();
            return new ClaimOutcome(
                    Kind.valueOf(message.getKind()), answer, message.getCompleted());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the bytes are not a valid ClaimOutcomeMessage", e);
        }
    }
}
