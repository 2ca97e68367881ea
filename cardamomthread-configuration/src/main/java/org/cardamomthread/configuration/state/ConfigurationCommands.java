package org.cardamomthread.configuration.state;

import java.time.Instant;
import java.util.Objects;
import java.util.SortedMap;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.generated.AdvanceVersionMove;
import org.cardamomthread.configuration.generated.ApplyDeclarations;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.generated.FinishVersionMove;
import org.cardamomthread.configuration.generated.SetDataCentreState;
import org.cardamomthread.configuration.generated.StartVersionMove;
import org.cardamomthread.configuration.generated.StopVersion;
import org.cardamomthread.configuration.generated.TakeFencingNumber;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Builds commands for {@link ConfigurationStateMachine}.
 *
 * <p>A command that is sent again carries the same operation id; times and epochs may then differ.
 * Stateless and safe for use by several threads.
 */
public final class ConfigurationCommands {

    private ConfigurationCommands() {}

    /**
     * Builds the command that replaces the declarations, as the difference to those that a node
     * holds if that is enough, and otherwise as the whole set.
     *
     * @param operation the operation
     * @param baseRevision the revision against which the change was made
     * @param declarations the whole new set, checked
     * @param held the view that the proposing node holds
     * @return the command
     */
    public static ConfigurationCommand applyDeclarations(
            OperationId operation,
            long baseRevision,
            Declarations declarations,
            ConfigurationView held) {
        if (held.revision() < baseRevision) {
            // What this node holds may be older than the base, so the difference could be too.
            return applyDeclarations(operation, baseRevision, declarations);
        }
        SortedMap<DeclarationKey, String> heldTexts = held.declarations().canonicalJsonByKey();
        SortedMap<DeclarationKey, String> wantedTexts = declarations.canonicalJsonByKey();
        ApplyDeclarations.Builder apply =
                newApplyDeclarations(operation, baseRevision, declarations);
        wantedTexts.forEach(
                (key, text) -> {
                    if (!text.equals(heldTexts.get(key))) {
                        apply.addDeclarations(EntryCodec.toMessage(key, text));
                    }
                });
        for (DeclarationKey key : heldTexts.keySet()) {
            if (!wantedTexts.containsKey(key)) {
                apply.addRemoved(EntryCodec.toMessage(key, ""));
            }
        }
        return ConfigurationCommand.newBuilder().setApplyDeclarations(apply).build();
    }

    /**
     * Builds the command that replaces the declarations, as the whole set.
     *
     * @param operation the operation
     * @param baseRevision the revision against which the change was made
     * @param declarations the whole new set, checked
     * @return the command
     */
    public static ConfigurationCommand applyDeclarations(
            OperationId operation, long baseRevision, Declarations declarations) {
        ApplyDeclarations.Builder apply =
                newApplyDeclarations(operation, baseRevision, declarations);
        apply.setWhole(true);
        declarations
                .canonicalJsonByKey()
                .forEach((key, text) -> apply.addDeclarations(EntryCodec.toMessage(key, text)));
        return ConfigurationCommand.newBuilder().setApplyDeclarations(apply).build();
    }

    private static ApplyDeclarations.Builder newApplyDeclarations(
            OperationId operation, long baseRevision, Declarations declarations) {
        Objects.requireNonNull(declarations, "declarations must not be null");
        return ApplyDeclarations.newBuilder()
                .setOperationId(operation.value())
                .setBaseRevision(baseRevision)
                .setDigest(declarations.digest());
    }

    /**
     * Builds the command that starts a version move; the move has the id of the operation.
     *
     * @param operation the operation
     * @param service the service
     * @param to the version to move to
     * @param deadline when the move must be done
     * @param startedAt the time now
     * @return the command
     */
    public static ConfigurationCommand startVersionMove(
            OperationId operation,
            ServiceId service,
            VersionId to,
            Instant deadline,
            Instant startedAt) {
        StartVersionMove start =
                StartVersionMove.newBuilder()
                        .setOperationId(operation.value())
                        .setService(service.value())
                        .setToVersion(to.value())
                        .setDeadlineMs(deadline.toEpochMilli())
                        .setStartedAtMs(startedAt.toEpochMilli())
                        .build();
        return ConfigurationCommand.newBuilder().setStartVersionMove(start).build();
    }

    /**
     * Builds the command that takes a move one step forward.
     *
     * @param operation the operation
     * @param move the move
     * @param step index of the step to reach, one above the present one
     * @param at the time now
     * @return the command
     */
    public static ConfigurationCommand advanceVersionMove(
            OperationId operation, OperationId move, int step, Instant at) {
        AdvanceVersionMove advance =
                AdvanceVersionMove.newBuilder()
                        .setOperationId(operation.value())
                        .setMoveId(move.value())
                        .setStep(step)
                        .setAtMs(at.toEpochMilli())
                        .build();
        return ConfigurationCommand.newBuilder().setAdvanceVersionMove(advance).build();
    }

    /**
     * Builds the command that ends a move.
     *
     * @param operation the operation
     * @param move the move
     * @param done true if it is done, false if it is taken back
     * @param reason why it ends
     * @param at the time now
     * @return the command
     */
    public static ConfigurationCommand finishVersionMove(
            OperationId operation, OperationId move, boolean done, String reason, Instant at) {
        FinishVersionMove finish =
                FinishVersionMove.newBuilder()
                        .setOperationId(operation.value())
                        .setMoveId(move.value())
                        .setDone(done)
                        .setReason(reason)
                        .setAtMs(at.toEpochMilli())
                        .build();
        return ConfigurationCommand.newBuilder().setFinishVersionMove(finish).build();
    }

    /**
     * Builds the command that stops a version and takes back a move to it.
     *
     * @param operation the operation
     * @param service the service
     * @param version the version
     * @param reason why it is stopped
     * @param at the time now
     * @return the command
     */
    public static ConfigurationCommand stopVersion(
            OperationId operation,
            ServiceId service,
            VersionId version,
            String reason,
            Instant at) {
        StopVersion stop =
                StopVersion.newBuilder()
                        .setOperationId(operation.value())
                        .setService(service.value())
                        .setVersion(version.value())
                        .setReason(reason)
                        .setAtMs(at.toEpochMilli())
                        .build();
        return ConfigurationCommand.newBuilder().setStopVersion(stop).build();
    }

    /**
     * Builds the command that takes a data centre out of service or back.
     *
     * @param operation the operation
     * @param dataCentre the data centre
     * @param state the new state; its epoch is one above the one last seen
     * @return the command
     */
    public static ConfigurationCommand setDataCentreState(
            OperationId operation, DataCentreId dataCentre, DataCentreState state) {
        SetDataCentreState set =
                SetDataCentreState.newBuilder()
                        .setOperationId(operation.value())
                        .setDataCentre(dataCentre.value())
                        .setOut(state.out())
                        .setEpoch(state.epoch())
                        .build();
        return ConfigurationCommand.newBuilder().setSetDataCentreState(set).build();
    }

    /**
     * Builds the command that takes the next fencing number.
     *
     * @param operation the operation
     * @param holder the node that takes it
     * @return the command
     */
    public static ConfigurationCommand takeFencingNumber(OperationId operation, NodeId holder) {
        TakeFencingNumber take =
                TakeFencingNumber.newBuilder()
                        .setOperationId(operation.value())
                        .setHolder(holder.value())
                        .build();
        return ConfigurationCommand.newBuilder().setTakeFencingNumber(take).build();
    }
}
