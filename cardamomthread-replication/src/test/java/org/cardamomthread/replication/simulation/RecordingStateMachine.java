package org.cardamomthread.replication.simulation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.cardamomthread.replication.StateMachine;

/** Stores all commands by index and returns the index as the result. */
public final class RecordingStateMachine implements StateMachine {

    private final TreeMap<Long, String> commands = new TreeMap<>();
    private final Listener listener;

    /** Is notified of applied commands and restored states. */
    public interface Listener {
        void onApplied(long index, String command);

        void onRestored(TreeMap<Long, String> state);
    }

    public RecordingStateMachine(Listener listener) {
        this.listener = listener;
    }

    public TreeMap<Long, String> commands() {
        return commands;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        String text = new String(command, StandardCharsets.UTF_8);
        commands.put(index, text);
        listener.onApplied(index, text);
        return ByteBuffer.allocate(Long.BYTES).putLong(index).array();
    }

    @Override
    public byte[] snapshot() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<Long, String> entry : commands.entrySet()) {
            text.append(entry.getKey()).append(' ').append(entry.getValue()).append('\n');
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] state) {
        commands.clear();
        new String(state, StandardCharsets.UTF_8)
                .lines()
                .map(line -> line.split(" "))
                .forEach(parts -> commands.put(Long.valueOf(parts[0]), parts[1]));
        listener.onRestored(commands);
    }
}
