package org.cardamomthread.configuration.state;

import static org.cardamomthread.configuration.state.CommandGenerator.CHAT;
import static org.cardamomthread.configuration.state.CommandGenerator.NOW;
import static org.cardamomthread.configuration.state.CommandGenerator.PERTH;
import static org.cardamomthread.configuration.state.CommandGenerator.V1;
import static org.cardamomthread.configuration.state.CommandGenerator.V2;
import static org.cardamomthread.configuration.state.CommandGenerator.operation;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Instant;
import java.util.List;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.configuration.state.ConfigurationResult.Rejected;
import org.cardamomthread.configuration.state.ConfigurationResult.Stale;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.VersionId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationStateMachine}. */
public class ConfigurationStateMachineTests {

    private static final Instant DEADLINE = NOW.plusSeconds(60);

    private ConfigurationStateMachine machine;
    private int nextOperation;

    @BeforeMethod
    public void declare() {
        machine = new ConfigurationStateMachine();
        nextOperation = 0;
        assertEquals(apply(0, 100, "v1"), new Accepted(1, 0));
    }

    @Test
    public void showsTheDifferenceToAStaleOperator() {
        apply(1, 200, "v1");
        ConfigurationResult result = apply(1, 300, "v1");
        assertEquals(
                result,
                new Stale(
                        2, List.of("~ profiles/urgent\n    latency/firstTokenMs: 200 -> 300"), 1));
    }

    @Test
    public void keepsTheBaseOfDeclarationsValidThroughOtherChanges() {
        takeFencingNumber();
        assertEquals(machine.view().revision(), 2);
        assertEquals(apply(1, 200, "v1"), new Accepted(3, 0));
    }

    @Test
    public void reachesTheWantedSetFromAnyHeldView() {
        ConfigurationView older = machine.view();
        apply(1, 200, "v1");
        Declarations wanted = CommandGenerator.declarations(100, 3, "v1");
        for (ConfigurationView held : List.of(older, machine.view())) {
            ConfigurationStateMachine copy = new ConfigurationStateMachine();
            copy.restore(machine.snapshot());
            copy.apply(ConfigurationCommands.applyDeclarations(operation("w"), 2, wanted, held));
            assertEquals(copy.view().declarations(), wanted);
        }
    }

    @Test
    public void givesOneAnswerToTheWholeAndTheDifference() {
        Declarations wanted = CommandGenerator.declarations(300, 2, "v1");
        ConfigurationResult first =
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("w"), 1, wanted, machine.view()));
        assertEquals(first, new Accepted(2, 0));
        assertEquals(
                machine.apply(ConfigurationCommands.applyDeclarations(operation("w"), 1, wanted)),
                first);
        assertEquals(
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("w"), 1, wanted, machine.view())),
                first);
    }

    @Test
    public void rejectsABaseThatDoesNotExistYet() {
        assertRejected(apply(7, 200, "v1"), "above the current revision 1");
    }

    @Test
    public void rejectsAnotherChangeUnderAUsedOperationId() {
        ConfigurationResult first =
                machine.apply(ConfigurationCommands.stopVersion(operation("x"), CHAT, V2, "", NOW));
        ConfigurationResult again =
                machine.apply(
                        ConfigurationCommands.stopVersion(
                                operation("x"), CHAT, V2, "", NOW.plusSeconds(9)));
        assertEquals(again, first);
        ConfigurationResult other =
                machine.apply(ConfigurationCommands.takeFencingNumber(operation("x"), node()));
        assertRejected(other, "was used for another change");
    }

    @Test
    public void forgetsOnlyTheOldestOperations() {
        ConfigurationStateMachine small = new ConfigurationStateMachine(2);
        for (String id : List.of("a", "b", "c", "b")) {
            small.apply(ConfigurationCommands.takeFencingNumber(operation(id), node()));
        }
        assertEquals(small.view().fencingNumber(), 3);
        small.apply(ConfigurationCommands.takeFencingNumber(operation("a"), node()));
        assertEquals(small.view().fencingNumber(), 4);
    }

    @Test
    public void takesFencingNumbersThatRise() {
        assertEquals(takeFencingNumber(), new Accepted(2, 1));
        assertEquals(takeFencingNumber(), new Accepted(3, 2));
        assertEquals(machine.view().fencingHolder().orElseThrow(), "node-a");
    }

    @Test
    public void movesAVersionStepByStep() {
        start("move", V2);
        VersionMove move = machine.view().findRunningMove(CHAT).orElseThrow();
        assertEquals(move.from(), V1);
        assertRejected(finish(true, NOW), "not at the last");
        assertEquals(advance(1), new Accepted(3, 0));
        assertEquals(advance(1), new Accepted(3, 0));
        assertRejected(advance(2), "does not follow");
        assertEquals(finish(true, DEADLINE), new Accepted(4, 0));
        assertEquals(machine.view().declarations().findService(CHAT).get().currentVersion(), V2);
        assertEquals(machine.view().declarationsRevision(), 4);
        assertRejected(apply(4, 100, "v1"), "in force is v2");
        assertEquals(apply(4, 200, "v2"), new Accepted(5, 0));
    }

    @Test
    public void takesAMoveBackAfterItsDeadline() {
        start("move", V2);
        advance(1);
        assertRejected(finish(true, DEADLINE.plusMillis(1)), "deadline");
        assertEquals(finish(false, DEADLINE.plusMillis(1)), new Accepted(4, 0));
        assertEquals(finish(false, DEADLINE.plusMillis(2)), new Accepted(4, 0));
        assertRejected(finish(true, NOW), "has ended: TAKEN_BACK");
        assertEquals(machine.view().declarations().findService(CHAT).get().currentVersion(), V1);
        assertEquals(start("again", V2), new Accepted(5, 0));
    }

    @Test
    public void takesAMoveBackWhenItsVersionIsStopped() {
        start("move", V2);
        assertEquals(stop(V2), new Accepted(3, 0));
        assertEquals(stop(V2), new Accepted(3, 0));
        assertTrue(machine.view().isStopped(CHAT, V2));
        VersionMove move = machine.view().findMove(operation("move")).orElseThrow();
        assertEquals(move.state(), VersionMove.State.TAKEN_BACK);
        assertEquals(move.reason(), "failures");
        assertRejected(start("again", V2), "was stopped");
        assertRejected(advance(1), "has ended");
    }

    @Test
    public void forgetsAStopWhenTheVersionIsNoLongerDeclared() {
        stop(V2);
        machine.apply(
                ConfigurationCommands.applyDeclarations(
                        operation("none"), 2, Declarations.empty()));
        assertFalse(machine.view().isStopped(CHAT, V2));
    }

    @DataProvider
    public Object[][] refusedStarts() {
        return new Object[][] {
            {V1, DEADLINE, "is the current one"},
            {new VersionId("v9"), DEADLINE, "is not declared"},
            {V2, NOW, "has passed"},
        };
    }

    @Test(dataProvider = "refusedStarts")
    public void refusesMovesThatCouldNotEnd(VersionId to, Instant deadline, String reason) {
        assertRejected(
                machine.apply(
                        ConfigurationCommands.startVersionMove(
                                operation("move"), CHAT, to, deadline, NOW)),
                reason);
    }

    @Test
    public void refusesASecondMoveAndTheLossOfItsVersions() {
        start("move", V2);
        assertRejected(start("second", V2), "runs");
        ConfigurationResult result =
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("none"), 2, Declarations.empty()));
        assertRejected(result, "is left out");
    }

    @Test
    public void letsOutWinOverInAtEqualEpochs() {
        assertTrue(setState(false, 1) instanceof Accepted);
        assertTrue(setState(true, 1) instanceof Accepted);
        assertTrue(setState(false, 1) instanceof Stale);
        assertTrue(machine.view().dataCentreState(PERTH).out());
        assertTrue(setState(false, 2) instanceof Accepted);
        assertTrue(setState(true, 1) instanceof Stale);
        assertFalse(machine.view().dataCentreState(PERTH).out());
        ConfigurationResult unknown =
                machine.apply(
                        ConfigurationCommands.setDataCentreState(
                                operation("u"),
                                new DataCentreId("none"),
                                new DataCentreState(true, 1)));
        assertRejected(unknown, "is not declared");
    }

    @Test
    public void sendsTheWholeOnceRemovalsAreForgotten() throws ConfigurationGapException {
        ConfigurationView old = machine.view();
        applyMany(ViewEditor.MAX_REMOVALS + 1);
        applyMany(1);
        assertFalse(machine.view().delta(old.revision()).getWhole());
        applyMany(ViewEditor.MAX_REMOVALS + 2);
        applyMany(1);
        ConfigurationDelta delta = machine.view().delta(old.revision());
        assertTrue(delta.getWhole());
        assertTrue(delta.getEntriesCount() <= ViewEditor.MAX_REMOVALS + 10);
        ConfigurationView moved = old.applyDelta(delta);
        assertEquals(moved.entries(), machine.view().entries());
    }

    @Test
    public void refusesADeltaBeyondAGap() {
        takeFencingNumber();
        takeFencingNumber();
        ConfigurationDelta delta = machine.view().delta(2);
        ConfigurationGapException gap =
                expectThrows(
                        ConfigurationGapException.class,
                        () -> ConfigurationView.empty().applyDelta(delta));
        assertEquals(gap.heldRevision(), 0);
    }

    @Test
    public void answersAnUnreadableCommand() {
        ConfigurationResult result = ConfigurationResults.parse(machine.apply(new byte[] {1, 2}));
        assertRejected(result, "unreadable");
        assertRejected(ConfigurationResults.parse(machine.apply(new byte[0])), "OperationId");
    }

    private void applyMany(int dataCentres) {
        machine.apply(
                ConfigurationCommands.applyDeclarations(
                        operation("many-" + nextOperation++),
                        machine.view().revision(),
                        CommandGenerator.declarations(100 + nextOperation, dataCentres, "v1")));
    }

    private ConfigurationResult apply(long base, int firstTokenMs, String currentVersion) {
        return machine.apply(
                ConfigurationCommands.applyDeclarations(
                        operation("apply-" + nextOperation++),
                        base,
                        CommandGenerator.declarations(firstTokenMs, 1, currentVersion)));
    }

    private ConfigurationResult start(String id, VersionId to) {
        return machine.apply(
                ConfigurationCommands.startVersionMove(operation(id), CHAT, to, DEADLINE, NOW));
    }

    private ConfigurationResult advance(int step) {
        return machine.apply(
                ConfigurationCommands.advanceVersionMove(
                        operation("advance-" + nextOperation++), operation("move"), step, NOW));
    }

    private ConfigurationResult finish(boolean done, Instant at) {
        return machine.apply(
                ConfigurationCommands.finishVersionMove(
                        operation("finish-" + nextOperation++),
                        operation("move"),
                        done,
                        "tested",
                        at));
    }

    private ConfigurationResult stop(VersionId version) {
        return machine.apply(
                ConfigurationCommands.stopVersion(
                        operation("stop-" + nextOperation++), CHAT, version, "failures", NOW));
    }

    private ConfigurationResult setState(boolean out, long epoch) {
        return machine.apply(
                ConfigurationCommands.setDataCentreState(
                        operation("state-" + nextOperation++),
                        PERTH,
                        new DataCentreState(out, epoch)));
    }

    private ConfigurationResult takeFencingNumber() {
        return machine.apply(
                ConfigurationCommands.takeFencingNumber(
                        operation("fencing-" + nextOperation++), node()));
    }

    private static NodeId node() {
        return new NodeId("node-a");
    }

    private static void assertRejected(ConfigurationResult result, String reason) {
        assertTrue(result instanceof Rejected, result.toString());
        assertTrue(((Rejected) result).reason().contains(reason), result.toString());
    }
}
