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
 * <p>A resent command must have the same operation id as the original; its times and epochs may
 * differ. Stateless and thread-safe.
 */
public final class ConfigurationCommands {

    private ConfigurationCommands() {}

    /**
     * Builds the command that replaces the declarations. The command contains only the differences
     * from the view of the proposing node, or the full set if that view is older than the base
     * revision.
     *
     * @param operation id of the operation, unique for each change
     * @param baseRevision the revision that the change is based on
     * @param declarations the full new set, already validated
     * @param currentView the view of the proposing node
     * @return the command
     */
    public static ConfigurationCommand applyDeclarations(
            OperationId operation,
            long baseRevision,
            Declarations declarations,
            ConfigurationView currentView) {
        if (currentView.revision() < baseRevision) {
            // The view is older than the base, so a difference from it could undo later changes.
            return applyDeclarations(operation, baseRevision, declarations);
        }
        SortedMap<DeclarationKey, String> currentJsonByKey =
                currentView.declarations().canonicalJsonByKey();
        SortedMap<DeclarationKey, String> newJsonByKey = declarations.canonicalJsonByKey();
        ApplyDeclarations.Builder apply =
                newApplyDeclarations(operation, baseRevision, declarations);
        newJsonByKey.forEach(
                (key, json) -> {
                    if (!json.equals(currentJsonByKey.get(key))) {
                        apply.addDeclarations(EntryCodec.toMessage(key, json));
                    }
                });
        for (DeclarationKey key : currentJsonByKey.keySet()) {
            if (!newJsonByKey.containsKey(key)) {
                apply.addRemoved(EntryCodec.toMessage(key, ""));
            }
        }
        return ConfigurationCommand.newBuilder().setApplyDeclarations(apply).build();
    }

    /**
     * Builds the command that replaces the declarations by a full set.
     *
     * @param operation id of the operation, unique for each change
     * @param baseRevision the revision that the change is based on
     * @param declarations the full new set, already validated
     * @return the command
     */
    public static ConfigurationCommand applyDeclarations(
            OperationId operation, long baseRevision, Declarations declarations) {
        ApplyDeclarations.Builder apply =
                newApplyDeclarations(operation, baseRevision, declarations);
        apply.setWhole(true);
        declarations
                .canonicalJsonByKey()
                .forEach((key, json) -> apply.addDeclarations(EntryCodec.toMessage(key, json)));
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
     * Builds the command that starts a version move. The id of the operation becomes the id of the
     * move.
     *
     * @param operation id of the operation, unique for each change
     * @param service the service
     * @param to the new version
     * @param deadline latest time at which the move can complete
     * @param startedAt the current time of the proposer
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
     * Builds the command that advances a move by one step.
     *
     * @param operation id of the operation, unique for each change
     * @param move id of the move
     * @param step index of the new step, one above the current step
     * @param at the current time of the proposer
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
     * Builds the command that completes or rolls back a move.
     *
     * @param operation id of the operation, unique for each change
     * @param move id of the move
     * @param done true to complete the move, false to roll it back
     * @param reason why the move ends
     * @param at the current time of the proposer
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
     * Builds the command that stops a version and rolls back a running move to it.
     *
     * @param operation id of the operation, unique for each change
     * @param service id of the service
     * @param version the version to stop
     * @param reason why the version is stopped
     * @param at the current time of the proposer
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
     * Builds the command that takes a data centre out of service or returns it to service.
     *
     * @param operation id of the operation, unique for each change
     * @param dataCentre id of the data centre
     * @param state the new state; its epoch must be one above the latest known epoch
     * @return the command
     */
    public static ConfigurationCommand setDataCentreState(
            OperationId operation, DataCentreId dataCentre, DataCentreState state) {
        SetDataCentreState set =
                SetDataCentreState.newBuilder()
                        .setOperationId(operation.value())
                        .setDataCentre(dataCentre.value())
                        .setOut(state.drained())
                        .setEpoch(state.epoch())
                        .build();
        return ConfigurationCommand.newBuilder().setSetDataCentreState(set).build();
    }

    /**
     * Builds the command that issues the next fencing number (fencing token) to a node.
     *
     * @param operation id of the operation, unique for each change
     * @param holder the node that receives the number
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
