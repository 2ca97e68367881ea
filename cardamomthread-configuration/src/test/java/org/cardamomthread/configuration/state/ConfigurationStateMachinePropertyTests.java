package org.cardamomthread.configuration.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.configuration.state.ConfigurationResult.Stale;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests invariants of {@link ConfigurationStateMachine} with random commands; a seed reproduces a
 * run.
 */
public class ConfigurationStateMachinePropertyTests {

    private static final int COMMAND_COUNT = 300;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {5L}, {8L}, {13L}, {21L}, {34L}};
    }

    @Test(dataProvider = "seeds")
    public void incrementsTheRevisionWithEachChange(long seed) {
        CommandGenerator generator = new CommandGenerator(seed);
        ConfigurationStateMachine machine = new ConfigurationStateMachine();
        for (int i = 0; i < COMMAND_COUNT; i++) {
            ConfigurationView before = machine.view();
            ConfigurationResult result = machine.apply(generator.next(before));
            ConfigurationView after = machine.view();
            boolean changed = !sameContent(before, after);
            assertEquals(after.revision(), before.revision() + (changed ? 1 : 0));
            assertTrue(!changed || result instanceof Accepted, result.toString());
            assertEquals(result.revision(), after.revision());
        }
        assertTrue(machine.view().revision() > COMMAND_COUNT / 4, machine.view().toString());
    }

    @Test(dataProvider = "seeds")
    public void resendsReturnTheFirstResultWithoutEffect(long seed) {
        Random random = new Random(seed);
        CommandGenerator generator = new CommandGenerator(seed);
        ConfigurationStateMachine machine = new ConfigurationStateMachine();
        List<ConfigurationCommand> sentCommands = new ArrayList<>();
        List<ConfigurationResult> firstResults = new ArrayList<>();
        for (int i = 0; i < COMMAND_COUNT; i++) {
            ConfigurationCommand command = generator.next(machine.view());
            sentCommands.add(command);
            firstResults.add(machine.apply(command));
            if (random.nextInt(10) == 0) {
                ConfigurationStateMachine restored = new ConfigurationStateMachine();
                restored.restore(machine.snapshot());
                machine = restored;
            }
            int resent = random.nextInt(sentCommands.size());
            long revision = machine.view().revision();
            assertEquals(machine.apply(sentCommands.get(resent)), firstResults.get(resent));
            assertEquals(machine.view().revision(), revision);
        }
    }

    @Test(dataProvider = "seeds")
    public void acceptsOneOfSeveralChangesWithTheSameBase(long seed) {
        Random random = new Random(seed);
        ConfigurationStateMachine machine = new ConfigurationStateMachine();
        for (int round = 0; round < 20; round++) {
            long base = machine.view().revision();
            List<ConfigurationCommand> commands = new ArrayList<>();
            for (int operator = 0; operator < 5; operator++) {
                commands.add(
                        ConfigurationCommands.applyDeclarations(
                                CommandGenerator.operation("race-" + round + "-" + operator),
                                base,
                                CommandGenerator.declarations(1 + round * 5 + operator, 1, "v1")));
            }
            commands.addAll(commands);
            Collections.shuffle(commands, random);
            List<ConfigurationResult> results = new ArrayList<>();
            for (ConfigurationCommand command : commands) {
                results.add(machine.apply(command));
            }
            long acceptedCount =
                    results.stream().filter(Accepted.class::isInstance).distinct().count();
            long staleCount = results.stream().filter(Stale.class::isInstance).count();
            assertEquals(acceptedCount, 1);
            assertEquals(staleCount, 8);
            assertEquals(machine.view().revision(), base + 1);
        }
    }

    @Test(dataProvider = "seeds")
    public void viewsNeverGoBackWithDelayedDeltas(long seed) throws DeltaGapException {
        Random random = new Random(seed);
        CommandGenerator generator = new CommandGenerator(seed);
        ConfigurationStateMachine machine = new ConfigurationStateMachine();
        ConfigurationView follower = ConfigurationView.empty();
        List<ConfigurationDelta> oldDeltas = new ArrayList<>();
        for (int i = 0; i < COMMAND_COUNT; i++) {
            machine.apply(generator.next(machine.view()));
            if (random.nextInt(4) == 0) {
                long from = Math.max(0, follower.revision() - random.nextInt(3));
                ConfigurationDelta delta = machine.view().deltaSince(from);
                oldDeltas.add(delta);
                follower = follower.applyDelta(delta);
                assertSame(follower, machine.view());
            }
            if (!oldDeltas.isEmpty()) {
                long revision = follower.revision();
                follower = follower.applyDelta(oldDeltas.get(random.nextInt(oldDeltas.size())));
                assertEquals(follower.revision(), revision);
            }
        }
        ConfigurationView fresh = ConfigurationView.empty().applyDelta(follower.deltaSince(0));
        assertSame(fresh, follower);
    }

    @Test(dataProvider = "seeds")
    public void replicasProduceEqualSnapshots(long seed) {
        CommandGenerator generator = new CommandGenerator(seed);
        ConfigurationStateMachine first = new ConfigurationStateMachine();
        ConfigurationStateMachine second = new ConfigurationStateMachine();
        for (int i = 0; i < COMMAND_COUNT; i++) {
            byte[] command = generator.next(first.view()).toByteArray();
            assertEquals(second.apply(command), first.apply(command));
            if (i == COMMAND_COUNT / 2) {
                ConfigurationStateMachine restored = new ConfigurationStateMachine();
                restored.restore(second.snapshot());
                second = restored;
            }
        }
        assertEquals(second.snapshot(), first.snapshot());
    }

    private static boolean sameContent(ConfigurationView first, ConfigurationView second) {
        return first.entries().equals(second.entries());
    }

    private static void assertSame(ConfigurationView view, ConfigurationView expected) {
        assertEquals(view.revision(), expected.revision());
        assertEquals(view.declarationsRevision(), expected.declarationsRevision());
        assertEquals(view.entries(), expected.entries());
        assertEquals(view.declarations(), expected.declarations());
        assertEquals(view.versionMoves(), expected.versionMoves());
        assertEquals(view.stoppedVersions(), expected.stoppedVersions());
    }
}
