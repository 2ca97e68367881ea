package org.cardamomthread.daemon.control;

import org.cardamomthread.configuration.traffic.TrafficStateMachine;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.replication.StateMachine;

/**
 * Builds the traffic state up from its log.
 *
 * <p>Changed by the thread of its group; {@link #getState()} is safe for use by several threads.
 */
public final class TrafficReplica implements StateMachine {

    private final TrafficStateMachine stateMachine = new TrafficStateMachine();
    private volatile TrafficState state = TrafficState.getDefaultInstance();

    /**
     * Returns the state as applied so far.
     *
     * @return an immutable state
     */
    public TrafficState getState() {
        return state;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        byte[] answer = stateMachine.apply(index, command);
        state = stateMachine.state();
        return answer;
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
     * Answers a read with the whole state.
     *
     * @param query not used
     * @return the encoded state
     */
    public byte[] query(byte[] query) {
        return state.toByteArray();
    }
}
