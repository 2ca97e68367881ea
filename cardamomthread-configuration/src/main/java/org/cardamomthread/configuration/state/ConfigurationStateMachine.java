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
 * Builds up the configuration from committed commands.
 *
 * <p>Deterministic: the same commands in the same order give the same state, answers and snapshots
 * on each replica; times come with the commands. The revision rises by one with each command that
 * changes something. A command with the operation id of one of the last {@value
 * #MAX_REMEMBERED_OPERATIONS} answered commands has no effect and gets the first answer again, also
 * after a snapshot; with the same id but another content it is rejected. Calls of {@link #apply}
 * and {@link #restore} come from one thread at a time; {@link #view} may be called by any thread.
 */
public final class ConfigurationStateMachine {

    /** The number of operations whose first answer is remembered. */
    public static final int MAX_REMEMBERED_OPERATIONS = 32_768;

    private final OperationHistory operations;
    private volatile ConfigurationView view = ConfigurationView.empty();

    /** Creates a state machine at revision 0. */
    public ConfigurationStateMachine() {
        this(MAX_REMEMBERED_OPERATIONS);
    }

    ConfigurationStateMachine(int operationWindow) {
        operations = new OperationHistory(operationWindow);
    }

    /**
     * Returns the configuration after the last applied command.
     *
     * @return the view
     */
    public ConfigurationView view() {
        return view;
    }

    /**
     * Applies a committed command.
     *
     * @param command the bytes of a ConfigurationCommand
     * @return the bytes of the answer, for {@link ConfigurationResults#parse}
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
     * @return the answer
     */
    public ConfigurationResult apply(ConfigurationCommand command) {
        CommandIdentity identity = CommandIdentity.of(command);
        Optional<OperationRecord> earlier = operations.find(identity.operationId());
        if (earlier.isPresent()) {
            return repeatResult(earlier.get(), identity);
        }
        CommandOutcome outcome = executeOrReject(command, identity);
        if (!identity.operationId().isEmpty()) {
            CommandResult result = ConfigurationResults.toMessage(outcome.result());
            operations.add(identity.operationId(), identity.fingerprint(), result);
        }
        view = outcome.view();
        return outcome.result();
    }

    /**
     * Writes the whole state.
     *
     * @return the bytes of a snapshot
     */
    public byte[] snapshot() {
        return ConfigurationSnapshot.newBuilder()
                .setConfiguration(view.delta(0))
                .addAllOperations(operations.records())
                .build()
                .toByteArray();
    }

    /**
     * Replaces the state by that of a snapshot.
     *
     * @param snapshot the bytes that {@link #snapshot()} returned on some replica
     * @throws IllegalArgumentException if the bytes are no snapshot
     */
    public void restore(byte[] snapshot) {
        try {
            ConfigurationSnapshot message = ConfigurationSnapshot.parseFrom(snapshot);
            view = ConfigurationView.empty().applyDelta(message.getConfiguration());
            operations.restore(message.getOperationsList());
        } catch (InvalidProtocolBufferException | ConfigurationGapException e) {
            throw new IllegalArgumentException("bytes must hold a ConfigurationSnapshot", e);
        }
    }

    private ConfigurationResult repeatResult(OperationRecord earlier, CommandIdentity identity) {
        if (earlier.getFingerprint().equals(identity.fingerprint())) {
            return ConfigurationResults.fromMessage(earlier.getResult());
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
        DataCentreState wanted = new DataCentreState(command.getOut(), command.getEpoch());
        DataCentreState held = view.dataCentreState(id);
        DataCentreState joined = held.join(wanted);
        if (joined.out() != wanted.out()) {
            String state = held.out() ? "out" : "in";
            return CommandOutcome.stale(
                    view,
                    List.of("data centre " + id + " is " + state + " since epoch " + held.epoch()));
        }
        if (joined.equals(held)) {
            return CommandOutcome.unchanged(view);
        }
        ViewBuilder editor = new ViewBuilder(view);
        editor.put(
                ConfigurationEntry.newBuilder()
                        .setKey(EntryKeys.dataCentre(id))
                        .setDataCentre(EntryCodec.toMessage(joined)));
        return CommandOutcome.accept(editor);
    }

    private CommandOutcome takeFencingNumber(TakeFencingNumber command) {
        NodeId holder = new NodeId(command.getHolder());
        long number = view.fencingNumber() + 1;
        ViewBuilder editor = new ViewBuilder(view);
        editor.put(
                ConfigurationEntry.newBuilder()
                        .setKey(EntryKeys.FENCING)
                        .setFencing(
                                FencingMessage.newBuilder()
                                        .setNumber(number)
                                        .setHolder(holder.value())));
        ConfigurationView next = editor.build();
        return new CommandOutcome(new Accepted(next.revision(), number), next);
    }

    private static byte[] toBytes(ConfigurationResult result) {
        return ConfigurationResults.toMessage(result).toByteArray();
    }
}
