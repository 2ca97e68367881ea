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

/** Tests the effect and the result of each command of {@link ConfigurationStateMachine}. */
public class ConfigurationStateMachineTests {

    private static final Instant DEADLINE = NOW.plusSeconds(60);

    private ConfigurationStateMachine machine;
    private int nextOperation;

    @BeforeMethod
    public void applyInitialDeclarations() {
        machine = new ConfigurationStateMachine();
        nextOperation = 0;
        assertEquals(applyDeclarations(0, 100, "v1"), new Accepted(1, 0));
    }

    @Test
    public void returnsTheDifferencesOnAStaleBase() {
        applyDeclarations(1, 200, "v1");
        ConfigurationResult result = applyDeclarations(1, 300, "v1");
        assertEquals(
                result,
                new Stale(
                        2, List.of("~ profiles/urgent\n    latency/firstTokenMs: 200 -> 300"), 1));
    }

    @Test
    public void baseRevisionStaysValidAfterOtherChanges() {
        takeFencingNumber();
        assertEquals(machine.view().revision(), 2);
        assertEquals(applyDeclarations(1, 200, "v1"), new Accepted(3, 0));
    }

    @Test
    public void appliesFullSetRegardlessOfProposerView() {
        ConfigurationView older = machine.view();
        applyDeclarations(1, 200, "v1");
        Declarations newDeclarations = CommandGenerator.declarations(100, 3, "v1");
        for (ConfigurationView proposerView : List.of(older, machine.view())) {
            ConfigurationStateMachine copy = new ConfigurationStateMachine();
            copy.restore(machine.snapshot());
            copy.apply(
                    ConfigurationCommands.applyDeclarations(
                            operation("w"), 2, newDeclarations, proposerView));
            assertEquals(copy.view().declarations(), newDeclarations);
        }
    }

    @Test
    public void returnsSameResultForFullSetAndDifference() {
        Declarations newDeclarations = CommandGenerator.declarations(300, 2, "v1");
        ConfigurationResult first =
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("w"), 1, newDeclarations, machine.view()));
        assertEquals(first, new Accepted(2, 0));
        assertEquals(
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("w"), 1, newDeclarations)),
                first);
        assertEquals(
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("w"), 1, newDeclarations, machine.view())),
                first);
    }

    @Test
    public void rejectsABaseRevisionInTheFuture() {
        assertRejected(applyDeclarations(7, 200, "v1"), "above the current revision 1");
    }

    @Test
    public void rejectsAnotherCommandWithAUsedOperationId() {
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
    public void evictsOnlyTheOldestOperations() {
        ConfigurationStateMachine smallHistory = new ConfigurationStateMachine(2);
        for (String id : List.of("a", "b", "c", "b")) {
            smallHistory.apply(ConfigurationCommands.takeFencingNumber(operation(id), node()));
        }
        assertEquals(smallHistory.view().fencingNumber(), 3);
        smallHistory.apply(ConfigurationCommands.takeFencingNumber(operation("a"), node()));
        assertEquals(smallHistory.view().fencingNumber(), 4);
    }

    @Test
    public void issuesIncreasingFencingNumbers() {
        assertEquals(takeFencingNumber(), new Accepted(2, 1));
        assertEquals(takeFencingNumber(), new Accepted(3, 2));
        assertEquals(machine.view().fencingHolder().orElseThrow(), "node-a");
    }

    @Test
    public void movesAVersionStepByStep() {
        startMove("move", V2);
        VersionMove move = machine.view().findRunningVersionMove(CHAT).orElseThrow();
        assertEquals(move.from(), V1);
        assertRejected(finishMove(true, NOW), "not at the last");
        assertEquals(advanceMove(1), new Accepted(3, 0));
        assertEquals(advanceMove(1), new Accepted(3, 0));
        assertRejected(advanceMove(2), "does not follow");
        assertEquals(finishMove(true, DEADLINE), new Accepted(4, 0));
        assertEquals(machine.view().declarations().findService(CHAT).get().currentVersion(), V2);
        assertEquals(machine.view().declarationsRevision(), 4);
        assertRejected(applyDeclarations(4, 100, "v1"), "in force is v2");
        assertEquals(applyDeclarations(4, 200, "v2"), new Accepted(5, 0));
    }

    @Test
    public void rollsBackAMoveAfterItsDeadline() {
        startMove("move", V2);
        advanceMove(1);
        assertRejected(finishMove(true, DEADLINE.plusMillis(1)), "deadline");
        assertEquals(finishMove(false, DEADLINE.plusMillis(1)), new Accepted(4, 0));
        assertEquals(finishMove(false, DEADLINE.plusMillis(2)), new Accepted(4, 0));
        assertRejected(finishMove(true, NOW), "has ended: TAKEN_BACK");
        assertEquals(machine.view().declarations().findService(CHAT).get().currentVersion(), V1);
        assertEquals(startMove("again", V2), new Accepted(5, 0));
    }

    @Test
    public void rollsBackAMoveWhenItsVersionIsStopped() {
        startMove("move", V2);
        assertEquals(stopVersion(V2), new Accepted(3, 0));
        assertEquals(stopVersion(V2), new Accepted(3, 0));
        assertTrue(machine.view().isStopped(CHAT, V2));
        VersionMove move = machine.view().findVersionMove(operation("move")).orElseThrow();
        assertEquals(move.state(), VersionMove.State.ROLLED_BACK);
        assertEquals(move.reason(), "failures");
        assertRejected(startMove("again", V2), "was stopped");
        assertRejected(advanceMove(1), "has ended");
    }

    @Test
    public void removesAStopWhenTheVersionIsNoLongerDeclared() {
        stopVersion(V2);
        machine.apply(
                ConfigurationCommands.applyDeclarations(
                        operation("none"), 2, Declarations.empty()));
        assertFalse(machine.view().isStopped(CHAT, V2));
    }

    @DataProvider
    public Object[][] invalidMoves() {
        return new Object[][] {
            {V1, DEADLINE, "is the current one"},
            {new VersionId("v9"), DEADLINE, "is not declared"},
            {V2, NOW, "has passed"},
        };
    }

    @Test(dataProvider = "invalidMoves")
    public void rejectsMovesThatCannotComplete(VersionId to, Instant deadline, String reason) {
        assertRejected(
                machine.apply(
                        ConfigurationCommands.startVersionMove(
                                operation("move"), CHAT, to, deadline, NOW)),
                reason);
    }

    @Test
    public void rejectsASecondMoveAndTheRemovalOfMovedVersions() {
        startMove("move", V2);
        assertRejected(startMove("second", V2), "runs");
        ConfigurationResult result =
                machine.apply(
                        ConfigurationCommands.applyDeclarations(
                                operation("none"), 2, Declarations.empty()));
        assertRejected(result, "is left out");
    }

    @Test
    public void drainedWinsAtEqualEpochs() {
        assertTrue(setDataCentreState(false, 1) instanceof Accepted);
        assertTrue(setDataCentreState(true, 1) instanceof Accepted);
        assertTrue(setDataCentreState(false, 1) instanceof Stale);
        assertTrue(machine.view().dataCentreState(PERTH).drained());
        assertTrue(setDataCentreState(false, 2) instanceof Accepted);
        assertTrue(setDataCentreState(true, 1) instanceof Stale);
        assertFalse(machine.view().dataCentreState(PERTH).drained());
        ConfigurationResult unknown =
                machine.apply(
                        ConfigurationCommands.setDataCentreState(
                                operation("u"),
                                new DataCentreId("none"),
                                new DataCentreState(true, 1)));
        assertRejected(unknown, "is not declared");
    }

    @Test
    public void sendsTheFullConfigurationOnceTombstonesArePurged() throws DeltaGapException {
        ConfigurationView old = machine.view();
        applyDataCentres(ViewBuilder.MAX_TOMBSTONES + 1);
        applyDataCentres(1);
        assertFalse(machine.view().deltaSince(old.revision()).getWhole());
        applyDataCentres(ViewBuilder.MAX_TOMBSTONES + 2);
        applyDataCentres(1);
        ConfigurationDelta delta = machine.view().deltaSince(old.revision());
        assertTrue(delta.getWhole());
        assertTrue(delta.getEntriesCount() <= ViewBuilder.MAX_TOMBSTONES + 10);
        ConfigurationView updated = old.applyDelta(delta);
        assertEquals(updated.entries(), machine.view().entries());
    }

    @Test
    public void rejectsADeltaThatLeavesAGap() {
        takeFencingNumber();
        takeFencingNumber();
        ConfigurationDelta delta = machine.view().deltaSince(2);
        DeltaGapException gap =
                expectThrows(
                        DeltaGapException.class, () -> ConfigurationView.empty().applyDelta(delta));
        assertEquals(gap.viewRevision(), 0);
    }

    @Test
    public void rejectsAnUnreadableCommand() {
        ConfigurationResult result =
                ConfigurationResultCodec.parse(machine.apply(new byte[] {1, 2}));
        assertRejected(result, "unreadable");
        assertRejected(ConfigurationResultCodec.parse(machine.apply(new byte[0])), "OperationId");
    }

    private void applyDataCentres(int dataCentres) {
        machine.apply(
                ConfigurationCommands.applyDeclarations(
                        operation("many-" + nextOperation++),
                        machine.view().revision(),
                        CommandGenerator.declarations(100 + nextOperation, dataCentres, "v1")));
    }

    private ConfigurationResult applyDeclarations(
            long base, int firstTokenMs, String currentVersion) {
        return machine.apply(
                ConfigurationCommands.applyDeclarations(
                        operation("apply-" + nextOperation++),
                        base,
                        CommandGenerator.declarations(firstTokenMs, 1, currentVersion)));
    }

    private ConfigurationResult startMove(String id, VersionId to) {
        return machine.apply(
                ConfigurationCommands.startVersionMove(operation(id), CHAT, to, DEADLINE, NOW));
    }

    private ConfigurationResult advanceMove(int step) {
        return machine.apply(
                ConfigurationCommands.advanceVersionMove(
                        operation("advance-" + nextOperation++), operation("move"), step, NOW));
    }

    private ConfigurationResult finishMove(boolean done, Instant at) {
        return machine.apply(
                ConfigurationCommands.finishVersionMove(
                        operation("finish-" + nextOperation++),
                        operation("move"),
                        done,
                        "tested",
                        at));
    }

    private ConfigurationResult stopVersion(VersionId version) {
        return machine.apply(
                ConfigurationCommands.stopVersion(
                        operation("stop-" + nextOperation++), CHAT, version, "failures", NOW));
    }

    private ConfigurationResult setDataCentreState(boolean drained, long epoch) {
        return machine.apply(
                ConfigurationCommands.setDataCentreState(
                        operation("state-" + nextOperation++),
                        PERTH,
                        new DataCentreState(drained, epoch)));
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
