package org.cardamomthread.daemon.control;

import java.util.Arrays;
import org.cardamomthread.configuration.traffic.TrafficStateMachine;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.replication.StateMachine;

/**
 * Applies the log of the traffic group.
 *
 * <p>Commands are applied on the thread of the replication group; {@link #getState()} is
 * thread-safe.
 */
public final class TrafficReplica implements StateMachine {

    /** Query for the state without the document and the usage windows, which can be large. */
    public static final byte[] ORDERS_QUERY = {1};

    private final TrafficStateMachine stateMachine = new TrafficStateMachine();
    private volatile TrafficState state = TrafficState.getDefaultInstance();

    /**
     * Returns the state applied so far.
     *
     * @return the immutable state
     */
    public TrafficState getState() {
        return state;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        byte[] result = stateMachine.apply(index, command);
        state = stateMachine.state();
        return result;
    }

    @Override
    public byte[] snapshot() {
        return stateMachine.state().toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        stateMachine.restore(snapshot);
        state = stateMachine.state();
    }

    /**
     * Returns the state applied so far, encoded.
     *
     * @param query {@link #ORDERS_QUERY}, or empty for the complete state
     * @return the encoded state
     */
    public byte[] query(byte[] query) {
        TrafficState current = state;
        return Arrays.equals(query, ORDERS_QUERY)
                ? current.toBuilder().clearDocument().clearWindows().build().toByteArray()
                : current.toByteArray();
    }
}
