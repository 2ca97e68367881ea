package org.cardamomthread.configuration.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.configuration.generated.CommandResult;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.generated.ConfigurationEntry;
import org.cardamomthread.configuration.generated.ConfigurationSnapshot;
import org.cardamomthread.configuration.generated.FencingMessage;
import org.cardamomthread.configuration.generated.OperationRecord;
import org.cardamomthread.configuration.generated.SetDataCentreState;
import org.cardamomthread.configuration.generated.TakeFencingNumber;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.OperationId;

/**
 * Applies committed commands to the configuration.
 *
 * <p>Deterministic: the same commands in the same order produce the same state, results and
 * snapshots on each replica; times are part of the commands. Each command that changes the state
 * increments the revision by one. A command with the operation id of one of the last {@value
 * #MAX_REMEMBERED_OPERATIONS} commands has no effect and returns the first result again, even after
 * a snapshot was restored; if its content differs, it is rejected. {@link #apply} and {@link
 * #restore} must be called by one thread at a time; {@link #view} may be called by any thread.
 */
public final class ConfigurationStateMachine {

    /** The maximum number of operations whose first result is remembered. */
    public static final int MAX_REMEMBERED_OPERATIONS = 32_768;

    private final OperationHistory operations;
    private volatile ConfigurationView view = ConfigurationView.empty();

    /** Creates a state machine with an empty configuration at revision 0. */
    public ConfigurationStateMachine() {
        this(MAX_REMEMBERED_OPERATIONS);
    }

    ConfigurationStateMachine(int maxRememberedOperations) {
        operations = new OperationHistory(maxRememberedOperations);
    }

    /**
     * Returns the configuration after the most recently applied command.
     *
     * @return the view, which later commands do not modify
     */
    public ConfigurationView view() {
        return view;
    }

    /**
     * Applies a committed command.
     *
     * @param command an encoded {@code ConfigurationCommand}
     * @return the encoded result, for {@link ConfigurationResultCodec#parse}
     */
    public byte[] apply(byte[] command) {
        try {
            return toBytes(apply(ConfigurationCommand.parseFrom(command)));
        } catch (InvalidProtocolBufferException e) {
            CommandOutcome outcome =
                    CommandOutcome.reject(
                            view,
                            "the command is unreadable: " + e.getMessage(),
                            "use the same release on each node");
            return toBytes(outcome.result());
        }
    }

    /**
     * Applies a committed command.
     *
     * @param command the command
     * @return the result
     */
    public ConfigurationResult apply(ConfigurationCommand command) {
        CommandIdentity identity = CommandIdentity.of(command);
        Optional<OperationRecord> firstRecord = operations.find(identity.operationId());
        if (firstRecord.isPresent()) {
            return repeatResult(firstRecord.get(), identity);
        }
        CommandOutcome outcome = executeOrReject(command, identity);
        if (!identity.operationId().isEmpty()) {
            CommandResult result = ConfigurationResultCodec.toMessage(outcome.result());
            operations.add(identity.operationId(), identity.fingerprint(), result);
        }
        view = outcome.view();
        return outcome.result();
    }

    /**
     * Returns a snapshot of the full state.
     *
     * @return the encoded snapshot
     */
    public byte[] snapshot() {
        return ConfigurationSnapshot.newBuilder()
                .setConfiguration(view.deltaSince(0))
                .addAllOperations(operations.records())
                .build()
                .toByteArray();
    }

    /**
     * Replaces the state by the state in a snapshot.
     *
     * @param snapshot the bytes that {@link #snapshot()} returned on any replica
     * @throws IllegalArgumentException if the bytes are not an encoded snapshot
     */
    public void restore(byte[] snapshot) {
        try {
            ConfigurationSnapshot message = ConfigurationSnapshot.parseFrom(snapshot);
            view = ConfigurationView.empty().applyDelta(message.getConfiguration());
            operations.restore(message.getOperationsList());
        } catch (InvalidProtocolBufferException | DeltaGapException e) {
            throw new IllegalArgumentException("bytes must be an encoded ConfigurationSnapshot", e);
        }
    }

    private ConfigurationResult repeatResult(
            OperationRecord firstRecord, CommandIdentity identity) {
        if (firstRecord.getFingerprint().equals(identity.fingerprint())) {
            return ConfigurationResultCodec.fromMessage(firstRecord.getResult());
        }
        return CommandOutcome.reject(
                        view,
                        "operation id \""
                                + identity.operationId()
                                + "\" was used for another change",
                        "use a new operation id for each change")
                .result();
    }

    private CommandOutcome executeOrReject(ConfigurationCommand command, CommandIdentity identity) {
        try {
            new OperationId(identity.operationId());
            return execute(command);
        } catch (IllegalArgumentException e) {
            return CommandOutcome.reject(
                    view, e.getMessage(), "correct the value and send it anew");
        }
    }

    private CommandOutcome execute(ConfigurationCommand command) {
        return switch (command.getCommandCase()) {
            case APPLY_DECLARATIONS ->
                    DeclarationCommandHandler.apply(view, command.getApplyDeclarations());
            case START_VERSION_MOVE ->
                    VersionCommandHandler.start(view, command.getStartVersionMove());
            case ADVANCE_VERSION_MOVE ->
                    VersionCommandHandler.advance(view, command.getAdvanceVersionMove());
            case FINISH_VERSION_MOVE ->
                    VersionCommandHandler.finish(view, command.getFinishVersionMove());
            case STOP_VERSION -> VersionCommandHandler.stop(view, command.getStopVersion());
            case SET_DATA_CENTRE_STATE -> setDataCentreState(command.getSetDataCentreState());
            case TAKE_FENCING_NUMBER -> takeFencingNumber(command.getTakeFencingNumber());
            case COMMAND_NOT_SET ->
                    CommandOutcome.reject(
                            view,
                            "the command is of an unknown type",
                            "use the same release on each node");
        };
    }

    private CommandOutcome setDataCentreState(SetDataCentreState command) {
        DataCentreId id = new DataCentreId(command.getDataCentre());
        if (!view.declarations().dataCentres().containsKey(id)) {
            return CommandOutcome.reject(
                    view,
                    "data centre \"" + id + "\" is not declared",
                    "declare it, or use one of " + view.declarations().dataCentres().keySet());
        }
        DataCentreState requestedState = new DataCentreState(command.getOut(), command.getEpoch());
        DataCentreState currentState = view.dataCentreState(id);
        DataCentreState mergedState = currentState.merge(requestedState);
        if (mergedState.drained() != requestedState.drained()) {
            String state = currentState.drained() ? "out" : "in";
            return CommandOutcome.stale(
                    view,
                    List.of(
                            "data centre "
                                    + id
                                    + " is "
                                    + state
                                    + " since epoch "
                                    + currentState.epoch()));
        }
        if (mergedState.equals(currentState)) {
            return CommandOutcome.unchanged(view);
        }
        ViewBuilder builder = new ViewBuilder(view);
        builder.put(
                ConfigurationEntry.newBuilder()
                        .setKey(EntryKeys.dataCentre(id))
                        .setDataCentre(EntryCodec.toMessage(mergedState)));
        return CommandOutcome.accept(builder);
    }

    private CommandOutcome takeFencingNumber(TakeFencingNumber command) {
        NodeId holder = new NodeId(command.getHolder());
        long number = view.fencingNumber() + 1;
        ViewBuilder builder = new ViewBuilder(view);
        builder.put(
                ConfigurationEntry.newBuilder()
                        .setKey(EntryKeys.FENCING)
                        .setFencing(
                                FencingMessage.newBuilder()
                                        .setNumber(number)
                                        .setHolder(holder.value())));
        ConfigurationView next = builder.build();
        return new CommandOutcome(new Accepted(next.revision(), number), next);
    }

    private static byte[] toBytes(ConfigurationResult result) {
        return ConfigurationResultCodec.toMessage(result).toByteArray();
    }
}
