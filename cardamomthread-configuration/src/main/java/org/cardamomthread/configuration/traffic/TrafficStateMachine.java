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
 * Builds up the traffic document, the drained data centres, the version moves and the closed
 * accounting windows from a log of commands.
 *
 * <p>Invariants: the document's version never falls; a document under a version that is not higher
 * changes nothing; a closed accounting window keeps its first counts; a move that has ended stays
 * ended until its target is ordered anew. Every command may be applied more than once without a
 * further effect. Used by one thread at a time; the state returned is immutable.
 */
public final class TrafficStateMachine {

    /** Accounting windows that are kept, about ten minutes of windows of five seconds. */
    static final int MAX_USAGE_WINDOWS = 120;

    private TrafficState state = TrafficState.getDefaultInstance();

    /**
     * Applies a command.
     *
     * @param index the command's index in the log
     * @param command the encoded command
     * @return the encoded result
     */
    public byte[] apply(long index, byte[] command) {
        TrafficState before = state;
        TrafficCommand parsed = parse(command);
        switch (parsed.getActionCase()) {
            case REPLACE_DOCUMENT -> replaceDocument(parsed.getReplaceDocument());
            case SET_DRAINED -> setDrained(parsed.getSetDrained());
            case BEGIN_MOVE -> beginMove(parsed.getBeginMove());
            case END_MOVE -> endMove(parsed.getEndMove());
            case CLOSE_WINDOW -> closeWindow(parsed.getCloseWindow());
            case DELIVERED_WINDOW -> markDelivered(parsed.getDeliveredWindow());
            default ->
                    throw new IllegalArgumentException(
                            "command " + index + " must be known: run one release on all voters");
        }
        if (!withoutUsageWindows(state).equals(withoutUsageWindows(before))) {
            state = state.toBuilder().setRevision(index).build();
        }
        TrafficResult.Builder result = TrafficResult.newBuilder().setRevision(state.getRevision());
        if (parsed.hasCloseWindow()) {
            findWindow(parsed.getCloseWindow().getWindow()).ifPresent(result::setWindow);
        }
        return result.build().toByteArray();
    }

    /**
     * Returns the state after the last command.
     *
     * @return the state
     */
    public TrafficState state() {
        return state;
    }

    /**
     * Replaces the state.
     *
     * @param snapshot an encoded state
     */
    public void restore(byte[] snapshot) {
        try {
            state = TrafficState.parseFrom(snapshot);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the snapshot must be a traffic state", e);
        }
    }

    private void replaceDocument(ReplaceDocument change) {
        if (change.getVersion() > state.getDocumentVersion()) {
            state =
                    state.toBuilder()
                            .setDocumentVersion(change.getVersion())
                            .setDocument(change.getDocument())
                            .build();
        }
    }

    private void setDrained(SetDrained change) {
        List<String> drained = new ArrayList<>(state.getDrainedDataCentresList());
        drained.remove(change.getDataCentre());
        if (change.getDrained()) {
            drained.add(change.getDataCentre());
        }
        if (!drained.equals(state.getDrainedDataCentresList())) {
            state =
                    state.toBuilder()
                            .clearDrainedDataCentres()
                            .addAllDrainedDataCentres(drained)
                            .build();
        }
    }

    private void beginMove(BeginMove order) {
        int position = indexOfMove(order.getService());
        if (position >= 0 && state.getMoves(position).getTarget().equals(order.getTarget())) {
            return;
        }
        VersionMoveState move =
                VersionMoveState.newBuilder()
                        .setService(order.getService())
                        .setTarget(order.getTarget())
                        .setStage(MoveStage.RUNNING)
                        .setStartedAtMs(order.getStartedAtMs())
                        .setDurationMs(order.getDurationMs())
                        .build();
        TrafficState.Builder changed = state.toBuilder();
        if (position >= 0) {
            changed.removeMoves(position);
        }
        state = changed.addMoves(move).build();
    }

    private void endMove(EndMove order) {
        int position = indexOfMove(order.getService());
        if (position < 0) {
            return;
        }
        VersionMoveState move = state.getMoves(position);
        boolean isCurrent =
                move.getTarget().equals(order.getTarget())
                        && move.getStage() == MoveStage.RUNNING
                        && order.getStage() != MoveStage.RUNNING;
        if (isCurrent) {
            VersionMoveState ended =
                    move.toBuilder()
                            .setStage(order.getStage())
                            .setEndedAtMs(order.getEndedAtMs())
                            .build();
            state = state.toBuilder().setMoves(position, ended).build();
        }
    }

    private void closeWindow(UsageWindow window) {
        boolean isForgotten =
                state.getWindowsCount() >= MAX_USAGE_WINDOWS
                        && window.getWindow() < state.getWindows(0).getWindow();
        if (isForgotten || findWindow(window.getWindow()).isPresent()) {
            return;
        }
        TrafficState.Builder changed = state.toBuilder().addWindows(window);
        while (changed.getWindowsCount() > MAX_USAGE_WINDOWS) {
            changed.removeWindows(0);
        }
        state = changed.build();
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

    /** The part that gateways serve by, and whose changes raise the revision. */
    private static TrafficState withoutUsageWindows(TrafficState whole) {
        return whole.toBuilder().clearWindows().build();
    }

    private Optional<UsageWindow> findWindow(long window) {
        return state.getWindowsList().stream()
                .filter(known -> known.getWindow() == window)
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
            throw new IllegalArgumentException("the command must be a traffic command", e);
        }
    }
}
