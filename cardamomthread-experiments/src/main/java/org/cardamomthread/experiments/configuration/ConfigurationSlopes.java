package org.cardamomthread.experiments.configuration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.state.ConfigurationCommands;
import org.cardamomthread.configuration.state.ConfigurationStateMachine;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DeltaGapException;
import org.cardamomthread.core.id.OperationId;

/**
 * Measures the time and size of one change of declarations as a function of their number.
 *
 * <p>Prints one row per size: milliseconds to apply a change on a voter, microseconds to apply its
 * delta on another node, and the sizes of the command, the delta and the snapshot in bytes.
 */
public final class ConfigurationSlopes {

    private static final int[] SIZES = {100, 400, 1_600, 6_400};
    private static final int WARM_UP_CHANGES = 200;
    private static final int CHANGES = 100;
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_US = 1e3;

    private ConfigurationSlopes() {}

    /**
     * Runs the measurement.
     *
     * @param arguments ignored
     * @throws InvalidDocumentException if the generated declarations are invalid, which is a fault
     *     of this program
     * @throws DeltaGapException if a delta is missing, which indicates a bug in this program
     */
    public static void main(String[] arguments) throws InvalidDocumentException, DeltaGapException {
        System.out.println(
                "declarations apply_ms follow_us command_bytes delta_bytes snapshot_bytes");
        measure(SIZES[0], WARM_UP_CHANGES);
        for (int size : SIZES) {
            System.out.println(measure(size, CHANGES));
        }
    }

    private static String measure(int size, int changes)
            throws InvalidDocumentException, DeltaGapException {
        ConfigurationStateMachine machine = new ConfigurationStateMachine();
        ConfigurationView follower = ConfigurationView.empty();
        Declarations[] sets = {declarations(size, 10), declarations(size, 11)};
        long applyNanos = 0;
        long followNanos = 0;
        long commandBytes = 0;
        long deltaBytes = 0;
        for (int i = 0; i <= changes; i++) {
            ConfigurationCommand command =
                    ConfigurationCommands.applyDeclarations(
                            new OperationId("op-" + i),
                            machine.view().revision(),
                            sets[i % sets.length],
                            follower);
            byte[] bytes = command.toByteArray();
            long start = System.nanoTime();
            machine.apply(bytes);
            long applied = System.nanoTime();
            ConfigurationDelta delta = machine.view().deltaSince(follower.revision());
            follower = follower.applyDelta(delta);
            if (i > 0) {
                applyNanos += applied - start;
                followNanos += System.nanoTime() - applied;
                commandBytes = bytes.length;
                deltaBytes = delta.getSerializedSize();
            }
        }
        return String.format(
                Locale.ROOT,
                "%12d %8.2f %9.0f %13d %11d %14d",
                size,
                applyNanos / NANOS_PER_MS / changes,
                followNanos / NANOS_PER_US / changes,
                commandBytes,
                deltaBytes,
                machine.snapshot().length);
    }

    /** Builds client accounts; the first has the given concurrency limit and the others 10. */
    private static Declarations declarations(int size, int maxConcurrent)
            throws InvalidDocumentException {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode accounts = root.putArray("clientAccounts");
        for (int i = 0; i < size; i++) {
            ObjectNode account = accounts.addObject();
            account.put("id", "account-" + i);
            account.put("token", "token-of-account-" + i);
            account.put("maxConcurrent", i == 0 ? maxConcurrent : 10);
        }
        return new DeclarationsLoader().load("generated", root);
    }
}
