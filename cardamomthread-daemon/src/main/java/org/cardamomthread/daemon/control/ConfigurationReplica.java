package org.cardamomthread.daemon.control;

import java.nio.ByteBuffer;
import org.cardamomthread.configuration.state.ConfigurationStateMachine;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.replication.StateMachine;

/**
 * Applies the log of the configuration group and activates each revision on this node.
 *
 * <p>Not thread-safe: confined to the thread of its replication group.
 */
public final class ConfigurationReplica implements StateMachine {

    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final ConfigurationHolder holder;

    /**
     * Creates a replica at revision 0.
     *
     * @param holder receives each revision that becomes active
     */
    public ConfigurationReplica(ConfigurationHolder holder) {
        this.holder = holder;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        byte[] result = stateMachine.apply(command);
        holder.install(stateMachine.view());
        return result;
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
     * Returns the revision of the state applied so far.
     *
     * @param query ignored
     * @return the revision as 8 bytes, big-endian
     */
    public byte[] query(byte[] query) {
        return ByteBuffer.allocate(Long.BYTES).putLong(stateMachine.view().revision()).array();
    }
}
