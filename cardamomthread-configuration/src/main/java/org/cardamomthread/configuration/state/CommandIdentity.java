package org.cardamomthread.configuration.state;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.cardamomthread.configuration.generated.ConfigurationCommand;

/**
 * Identifies a command by its operation id and a fingerprint of its content, so that a resent
 * command is detected.
 *
 * <p>The fingerprint excludes what the proposer recomputes for a resend: times, epochs and the
 * difference of declarations, which their digest represents. Immutable and thread-safe.
 */
record CommandIdentity(String operationId, ByteString fingerprint) {

    private static final int FINGERPRINT_LENGTH_BYTES = 16;

    static CommandIdentity of(ConfigurationCommand command) {
        return new CommandIdentity(operationId(command), fingerprint(command));
    }

    private static String operationId(ConfigurationCommand command) {
        return switch (command.getCommandCase()) {
            case APPLY_DECLARATIONS -> command.getApplyDeclarations().getOperationId();
            case START_VERSION_MOVE -> command.getStartVersionMove().getOperationId();
            case ADVANCE_VERSION_MOVE -> command.getAdvanceVersionMove().getOperationId();
            case FINISH_VERSION_MOVE -> command.getFinishVersionMove().getOperationId();
            case STOP_VERSION -> command.getStopVersion().getOperationId();
            case SET_DATA_CENTRE_STATE -> command.getSetDataCentreState().getOperationId();
            case TAKE_FENCING_NUMBER -> command.getTakeFencingNumber().getOperationId();
            case COMMAND_NOT_SET -> "";
        };
    }

    private static ByteString fingerprint(ConfigurationCommand command) {
        ConfigurationCommand.Builder withoutRecomputedFields = command.toBuilder();
        switch (command.getCommandCase()) {
            case APPLY_DECLARATIONS ->
                    withoutRecomputedFields
                            .getApplyDeclarationsBuilder()
                            .clearDeclarations()
                            .clearRemoved()
                            .clearWhole();
            case START_VERSION_MOVE ->
                    withoutRecomputedFields.getStartVersionMoveBuilder().clearStartedAtMs();
            case ADVANCE_VERSION_MOVE ->
                    withoutRecomputedFields.getAdvanceVersionMoveBuilder().clearAtMs();
            case FINISH_VERSION_MOVE ->
                    withoutRecomputedFields.getFinishVersionMoveBuilder().clearAtMs();
            case STOP_VERSION -> withoutRecomputedFields.getStopVersionBuilder().clearAtMs();
            case SET_DATA_CENTRE_STATE ->
                    withoutRecomputedFields.getSetDataCentreStateBuilder().clearEpoch();
            default -> {
                // The remaining commands contain no recomputed fields.
            }
        }
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(withoutRecomputedFields.build().toByteArray());
            return ByteString.copyFrom(hash, 0, FINGERPRINT_LENGTH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }
}
