package org.cardamomthread.daemon.control;

import java.nio.ByteBuffer;
import org.cardamomthread.configuration.state.ConfigurationStateMachine;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.replication.StateMachine;

/**
 * Builds the configuration up from its log and puts each revision in force on this node.
 *
 * <p>Used by the thread of its group.
 */
public final class ConfigurationReplica implements StateMachine {

    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final ConfigurationHolder holder;

    /**
     * Creates the state at revision 0.
     *
     * @param holder the configuration in force on this node
     */
    public ConfigurationReplica(ConfigurationHolder holder) {
        this.holder = holder;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        byte[] answer = stateMachine.apply(command);
        holder.install(stateMachine.view());
        return answer;
    }

    @Override
    public byte[] snapshot() {
        return stateMachine.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        stateMachine.restore(snapshot);
        holder.install(stateMachine.view());
    }

    /**
     * Answers a read with the revision that the log has reached here.
     *
     * @param query not used
     * @return the revision, 8 bytes
     */
    public byte[] query(byte[] query) {
        return ByteBuffer.allocate(Long.BYTES).putLong(stateMachine.view().revision()).array();
    }
}
