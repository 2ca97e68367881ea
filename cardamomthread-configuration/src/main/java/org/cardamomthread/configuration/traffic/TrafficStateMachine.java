package org.cardamomthread.configuration.traffic;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.generated.BeginMove;
import org.cardamomthread.configuration.traffic.generated.EndMove;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.ReplaceDocument;
import org.cardamomthread.configuration.traffic.generated.SetDrained;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficResult;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.configuration.traffic.generated.UsageWindow;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;

/**
 * Applies committed commands to the traffic document, the drained data centres, the version moves
 * and the closed usage windows.
 *
 * <p>Invariants: the version of the document never decreases, and a document with a version that is
 * not higher is ignored; a closed usage window keeps the counts with which it was closed first; an
 * ended move stays ended until a move of the service to another target begins; an order has no
 * effect if another one for the same data centre or service was applied since it was accepted. All
 * commands are idempotent. Not thread-safe; the returned state is immutable.
 */
public final class TrafficStateMachine {

    /** The maximum number of usage windows kept: ten minutes of windows of five seconds. */
    static final int MAX_USAGE_WINDOWS = 120;

    private TrafficState state = TrafficState.getDefaultInstance();

    /**
     * Applies a command.
     *
     * @param index index of the command in the replicated log
     * @param command the encoded command
     * @return the encoded result
     */
    public byte[] apply(long index, byte[] command) {
        TrafficState before = state;
        TrafficCommand parsed = parse(command);
        boolean isOvertaken = false;
        switch (parsed.getActionCase()) {
            case REPLACE_DOCUMENT -> replaceDocument(parsed.getReplaceDocument());
            case SET_DRAINED -> isOvertaken = !setDrained(index, parsed.getSetDrained());
            case BEGIN_MOVE -> isOvertaken = !beginMove(index, parsed.getBeginMove());
            case END_MOVE -> endMove(parsed.getEndMove());
            case CLOSE_WINDOW -> closeWindow(parsed.getCloseWindow());
            case DELIVERED_WINDOW -> markDelivered(parsed.getDeliveredWindow());
            default ->
                    throw new IllegalArgumentException(
                            "command at log index "
                                    + index
                                    + " has an unknown type: run the same release on all voters");
        }
        if (!usedByGateways(state).equals(usedByGateways(before))) {
            state = state.toBuilder().setRevision(index).build();
        }
        TrafficResult.Builder result =
                TrafficResult.newBuilder()
                        .setRevision(state.getRevision())
                        .setOvertaken(isOvertaken);
        if (parsed.hasCloseWindow()) {
            findWindow(parsed.getCloseWindow().getWindow()).ifPresent(result::setWindow);
        }
        return result.build().toByteArray();
    }

    /**
     * Returns the state after the most recently applied command.
     *
     * @return the state
     */
    public TrafficState state() {
        return state;
    }

    /**
     * Replaces the state by the state in a snapshot.
     *
     * @param snapshot an encoded {@code TrafficState}
     */
    public void restore(byte[] snapshot) {
        try {
            state = TrafficState.parseFrom(snapshot);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the snapshot must be an encoded TrafficState", e);
        }
    }

    private void replaceDocument(ReplaceDocument command) {
        if (command.getVersion() > state.getDocumentVersion()) {
            state =
                    state.toBuilder()
                            .setDocumentVersion(command.getVersion())
                            .setDocument(command.getDocument())
                            .build();
        }
    }

    /** Returns false if the order was overtaken by one with the opposite effect. */
    private boolean setDrained(long index, SetDrained command) {
        String dataCentre = command.getDataCentre();
        List<String> drained = new ArrayList<>(state.getDrainedDataCentresList());
        if (command.hasExpectedOrderIndex()
                && command.getExpectedOrderIndex()
                        != state.getDrainOrderIndexesOrDefault(dataCentre, 0)) {
            return drained.contains(dataCentre) == command.getDrained();
        }
        TrafficState.Builder newState = state.toBuilder().putDrainOrderIndexes(dataCentre, index);
        drained.remove(dataCentre);
        if (command.getDrained()) {
            drained.add(dataCentre);
        }
        if (!drained.equals(state.getDrainedDataCentresList())) {
            newState.clearDrainedDataCentres().addAllDrainedDataCentres(drained);
        }
        state = newState.build();
        return true;
    }

    /** Returns false if the order was overtaken by one with another target. */
    private boolean beginMove(long index, BeginMove command) {
        int position = indexOfMove(command.getService());
        boolean hasSameTarget =
                position >= 0 && state.getMoves(position).getTarget().equals(command.getTarget());
        if (command.hasExpectedOrderIndex()
                && command.getExpectedOrderIndex() != moveOrderIndex(command.getService())) {
            return hasSameTarget;
        }
        state = state.toBuilder().putMoveOrderIndexes(command.getService(), index).build();
        if (hasSameTarget) {
            return true;
        }
        VersionMoveState move =
                VersionMoveState.newBuilder()
                        .setService(command.getService())
                        .setTarget(command.getTarget())
                        .setStage(MoveStage.RUNNING)
                        .setStartedAtMs(command.getStartedAtMs())
                        .setDurationMs(command.getDurationMs())
                        .build();
        TrafficState.Builder newState = state.toBuilder();
        if (position >= 0) {
            newState.removeMoves(position);
        }
        state = newState.addMoves(move).build();
        return true;
    }

    private long moveOrderIndex(String service) {
        return state.getMoveOrderIndexesOrDefault(service, 0);
    }

    private void endMove(EndMove command) {
        int position = indexOfMove(command.getService());
        if (position < 0) {
            return;
        }
        VersionMoveState move = state.getMoves(position);
        boolean isCurrent =
                !command.hasExpectedOrderIndex()
                        || command.getExpectedOrderIndex() == moveOrderIndex(command.getService());
        boolean isAllowed =
                isCurrent
                        && move.getTarget().equals(command.getTarget())
                        && isSuccessor(command.getStage(), move.getStage());
        if (isAllowed) {
            VersionMoveState ended =
                    move.toBuilder()
                            .setStage(command.getStage())
                            .setEndedAtMs(command.getEndedAtMs())
                            .build();
            state = state.toBuilder().setMoves(position, ended).build();
        }
    }

    private static boolean isSuccessor(MoveStage next, MoveStage current) {
        return switch (current) {
            case RUNNING -> next != MoveStage.RUNNING;
            case PROMOTED -> next == MoveStage.DONE || next == MoveStage.TAKEN_BACK;
            default -> false;
        };
    }

    private void closeWindow(UsageWindow window) {
        boolean isEvicted =
                state.getWindowsCount() >= MAX_USAGE_WINDOWS
                        && window.getWindow() < state.getWindows(0).getWindow();
        if (isEvicted || findWindow(window.getWindow()).isPresent()) {
            return;
        }
        TrafficState.Builder newState = state.toBuilder().addWindows(window);
        while (newState.getWindowsCount() > MAX_USAGE_WINDOWS) {
            newState.removeWindows(0);
        }
        state = newState.build();
    }

    private void markDelivered(long window) {
        for (int i = 0; i < state.getWindowsCount(); i++) {
            if (state.getWindows(i).getWindow() == window) {
                UsageWindow delivered = state.getWindows(i).toBuilder().setDelivered(true).build();
                state = state.toBuilder().setWindows(i, delivered).build();
                return;
            }
        }
    }

    /**
     * Returns the part of the state that gateways use. Only changes of this part set a new
     * revision.
     */
    private static TrafficState usedByGateways(TrafficState fullState) {
        return fullState.toBuilder()
                .clearWindows()
                .clearDrainOrderIndexes()
                .clearMoveOrderIndexes()
                .build();
    }

    private Optional<UsageWindow> findWindow(long window) {
        return state.getWindowsList().stream()
                .filter(usageWindow -> usageWindow.getWindow() == window)
                .findFirst();
    }

    private int indexOfMove(String service) {
        for (int i = 0; i < state.getMovesCount(); i++) {
            if (state.getMoves(i).getService().equals(service)) {
                return i;
            }
        }
        return -1;
    }

    private static TrafficCommand parse(byte[] command) {
        try {
            return TrafficCommand.parseFrom(command);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the command must be an encoded TrafficCommand", e);
        }
    }
}
