package org.cardamomthread.configuration.state;

import java.time.Instant;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.DeclarationKind;
import org.cardamomthread.configuration.generated.ConfigurationEntry;
import org.cardamomthread.configuration.generated.DataCentreStateMessage;
import org.cardamomthread.configuration.generated.DeclarationMessage;
import org.cardamomthread.configuration.generated.MoveState;
import org.cardamomthread.configuration.generated.StoppedVersionMessage;
import org.cardamomthread.configuration.generated.VersionMoveMessage;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/** Converts typed values to and from configuration entries. Stateless and thread-safe. */
final class EntryCodec {

    private EntryCodec() {}

    static DeclarationMessage toMessage(DeclarationKey key, String json) {
        return DeclarationMessage.newBuilder()
                .setKind(key.kind().wireNumber())
                .setId(key.id())
                .setJson(json)
                .build();
    }

    static DeclarationKey keyOf(DeclarationMessage message) {
        return new DeclarationKey(DeclarationKind.ofWireNumber(message.getKind()), message.getId());
    }

    static ConfigurationEntry.Builder toEntry(VersionMove move) {
        return ConfigurationEntry.newBuilder()
                .setKey(EntryKeys.versionMove(move.id()))
                .setVersionMove(
                        VersionMoveMessage.newBuilder()
                                .setService(move.service().value())
                                .setFromVersion(move.from().value())
                                .setToVersion(move.to().value())
                                .setDeadlineMs(move.deadline().toEpochMilli())
                                .setStartedAtMs(move.startedAt().toEpochMilli())
                                .setState(toMessage(move.state()))
                                .setStep(move.step())
                                .setChangedAtMs(move.changedAt().toEpochMilli())
                                .setReason(move.reason()));
    }

    static VersionMove toVersionMove(ConfigurationEntry entry) {
        VersionMoveMessage message = entry.getVersionMove();
        return new VersionMove(
                new OperationId(entry.getKey().substring(EntryKeys.VERSION_MOVE_PREFIX.length())),
                new ServiceId(message.getService()),
                new VersionId(message.getFromVersion()),
                new VersionId(message.getToVersion()),
                Instant.ofEpochMilli(message.getDeadlineMs()),
                Instant.ofEpochMilli(message.getStartedAtMs()),
                toState(message.getState()),
                message.getStep(),
                Instant.ofEpochMilli(message.getChangedAtMs()),
                message.getReason());
    }

    static ConfigurationEntry.Builder toEntry(StoppedVersion stopped) {
        return ConfigurationEntry.newBuilder()
                .setKey(EntryKeys.stoppedVersion(stopped.service(), stopped.version()))
                .setStoppedVersion(
                        StoppedVersionMessage.newBuilder()
                                .setService(stopped.service().value())
                                .setVersion(stopped.version().value())
                                .setReason(stopped.reason())
                                .setAtMs(stopped.at().toEpochMilli()));
    }

    static StoppedVersion toStoppedVersion(ConfigurationEntry entry) {
        StoppedVersionMessage message = entry.getStoppedVersion();
        return new StoppedVersion(
                new ServiceId(message.getService()),
                new VersionId(message.getVersion()),
                message.getReason(),
                Instant.ofEpochMilli(message.getAtMs()));
    }

    static DataCentreStateMessage toMessage(DataCentreState state) {
        return DataCentreStateMessage.newBuilder()
                .setOut(state.drained())
                .setEpoch(state.epoch())
                .build();
    }

    static DataCentreState toState(DataCentreStateMessage message) {
        return new DataCentreState(message.getOut(), message.getEpoch());
    }

    private static MoveState toMessage(VersionMove.State state) {
        return switch (state) {
            case RUNNING -> MoveState.MOVE_STATE_RUNNING;
            case DONE -> MoveState.MOVE_STATE_DONE;
            case ROLLED_BACK -> MoveState.MOVE_STATE_TAKEN_BACK;
        };
    }

    private static VersionMove.State toState(MoveState state) {
        return switch (state) {
            case MOVE_STATE_RUNNING -> VersionMove.State.RUNNING;
            case MOVE_STATE_DONE -> VersionMove.State.DONE;
            case MOVE_STATE_TAKEN_BACK -> VersionMove.State.ROLLED_BACK;
            default -> throw new IllegalArgumentException("state " + state + " must be known");
        };
    }
}
