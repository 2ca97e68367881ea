package org.cardamomthread.configuration.state;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.cardamomthread.configuration.generated.ConfigurationCommand;

/**
 * Tells which operation a command belongs to and what it asks for.
 *
 * <p>The fingerprint leaves out what the proposer works out anew for a resend: times, epochs and
 * the difference of declarations, for which their digest stands. Immutable and safe for use by
 * several threads.
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
        ConfigurationCommand.Builder stripped = command.toBuilder();
        switch (command.getCommandCase()) {
            case APPLY_DECLARATIONS ->
                    stripped.getApplyDeclarationsBuilder()
                            .clearDeclarations()
                            .clearRemoved()
                            .clearWhole();
            case START_VERSION_MOVE -> stripped.getStartVersionMoveBuilder().clearStartedAtMs();
            case ADVANCE_VERSION_MOVE -> stripped.getAdvanceVersionMoveBuilder().clearAtMs();
            case FINISH_VERSION_MOVE -> stripped.getFinishVersionMoveBuilder().clearAtMs();
            case STOP_VERSION -> stripped.getStopVersionBuilder().clearAtMs();
            case SET_DATA_CENTRE_STATE -> stripped.getSetDataCentreStateBuilder().clearEpoch();
            default -> {
                // The other command holds nothing of that kind.
            }
        }
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(stripped.build().toByteArray());
            return ByteString.copyFrom(hash, 0, FINGERPRINT_LENGTH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }
}
