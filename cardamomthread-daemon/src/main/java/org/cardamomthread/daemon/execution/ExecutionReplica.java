package org.cardamomthread.daemon.execution;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cardamomthread.replication.StateMachine;

/**
 * Runs several state machines on one replicated log. The first byte of a command identifies the
 * state machine that it is for.
 *
 * <p>Commands are applied on the thread of the replication group, and reads run on any thread; both
 * hold this object's lock.
 */
public final class ExecutionReplica implements StateMachine {

    /** Identifies the state machine of claims, which guard calls that must not be repeated. */
    public static final byte CLAIMS = 1;

    /** Identifies the state machine of accepted jobs. */
    public static final byte JOBS = 2;

    private final Map<Byte, StateMachine> stateMachinesById;

    /**
     * Creates a replica.
     *
     * @param stateMachinesById the state machines by id; must be the same on every voter
     */
    public ExecutionReplica(Map<Byte, StateMachine> stateMachinesById) {
        this.stateMachinesById = new TreeMap<>(stateMachinesById);
    }

    /**
     * Prefixes a command with the id of its state machine.
     *
     * @param machine the id of the state machine
     * @param command the command of that state machine
     * @return the command as stored in the log
     */
    public static byte[] prefixCommand(byte machine, byte[] command) {
        return ByteBuffer.allocate(1 + command.length).put(machine).put(command).array();
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        StateMachine machine = stateMachinesById.get(command[0]);
        if (machine == null) {
            throw new IllegalStateException(
                    "command "
                            + index
                            + " is for state machine "
                            + command[0]
                            + ", which this version does not have: upgrade this node");
        }
        byte[] payload = new byte[command.length - 1];
        System.arraycopy(command, 1, payload, 0, payload.length);
        return machine.apply(index, payload);
    }

    /**
     * Reads from the state while no command is applied.
     *
     * @param read the read; must not block
     * @param <T> the type of result
     * @return its result
     */
    public synchronized <T> T read(Supplier<T> read) {
        return read.get();
    }

    @Override
    public synchronized byte[] snapshot() {
        Map<Byte, byte[]> parts = new TreeMap<>();
        int length = 0;
        for (Map.Entry<Byte, StateMachine> entry : stateMachinesById.entrySet()) {
            byte[] part = entry.getValue().snapshot();
            parts.put(entry.getKey(), part);
            length += Byte.BYTES + Integer.BYTES + part.length;
        }
        ByteBuffer buffer = ByteBuffer.allocate(length);
        parts.forEach((id, part) -> buffer.put(id).putInt(part.length).put(part));
        return buffer.array();
    }

    @Override
    public synchronized void restore(byte[] state) {
        ByteBuffer buffer = ByteBuffer.wrap(state);
        while (buffer.hasRemaining()) {
            byte id = buffer.get();
            byte[] part = new byte[buffer.getInt()];
            buffer.get(part);
            stateMachinesById.get(id).restore(part);
        }
    }
}
