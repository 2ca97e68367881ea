package org.cardamomthread.daemon.execution;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cardamomthread.replication.StateMachine;

/**
 * Keeps several state machines in one replicated log. The first byte of a command names the machine
 * that it is for.
 *
 * <p>Commands come from the thread of its group, reads from any thread; both hold this object's
 * lock.
 */
public final class ExecutionReplica implements StateMachine {

    /** Names the claims of calls that may not be repeated. */
    public static final byte CLAIMS = 1;

    /** Names the accepted jobs. */
    public static final byte JOBS = 2;

    private final Map<Byte, StateMachine> stateMachinesById;

    /**
     * Creates the replica.
     *
     * @param machines the machines by name; the same on each voter
     */
    public ExecutionReplica(Map<Byte, StateMachine> machines) {
        this.stateMachinesById = new TreeMap<>(machines);
    }

    /**
     * Addresses a command to a machine.
     *
     * @param machine the machine's name
     * @param command the command
     * @return the command as it stands in the log
     */
    public static byte[] address(byte machine, byte[] command) {
        return ByteBuffer.allocate(1 + command.length).put(machine).put(command).array();
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        StateMachine machine = stateMachinesById.get(command[0]);
        if (machine == null) {
            throw new IllegalStateException(
                    "command "
                            + index
                            + " is for machine "
                            + command[0]
                            + ", which this version lacks: upgrade this node");
        }
        byte[] content = new byte[command.length - 1];
        System.arraycopy(command, 1, content, 0, content.length);
        return machine.apply(index, content);
    }

    /**
     * Reads from the state between two commands.
     *
     * @param read the read, must not block
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
        parts.forEach((name, part) -> buffer.put(name).putInt(part.length).put(part));
        return buffer.array();
    }

    @Override
    public synchronized void restore(byte[] state) {
        ByteBuffer buffer = ByteBuffer.wrap(state);
        while (buffer.hasRemaining()) {
            byte name = buffer.get();
            byte[] part = new byte[buffer.getInt()];
            buffer.get(part);
            stateMachinesById.get(name).restore(part);
        }
    }
}
