package org.cardamomthread.configuration.traffic;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.util.List;
import org.cardamomthread.configuration.traffic.generated.BeginMove;
import org.cardamomthread.configuration.traffic.generated.EndMove;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.ReplaceDocument;
import org.cardamomthread.configuration.traffic.generated.SetDrained;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficResult;
import org.cardamomthread.configuration.traffic.generated.UsageWindow;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that {@link TrafficStateMachine} applies commands idempotently and keeps its invariants.
 */
public class TrafficStateMachineTests {

    private TrafficStateMachine machine;
    private long index;

    @BeforeMethod
    public void createMachine() {
        machine = new TrafficStateMachine();
        index = 0;
    }

    @DataProvider
    public Object[][] documentVersions() {
        return new Object[][] {
            {List.of(3L, 7L), 7L, "content of 7, order 1"},
            {List.of(7L, 3L), 7L, "content of 7, order 0"},
            {List.of(7L, 7L), 7L, "content of 7, order 0"},
            {List.of(3L, 7L, 5L, 7L), 7L, "content of 7, order 1"},
        };
    }

    @Test(dataProvider = "documentVersions")
    public void keepsTheFirstDocumentOfTheHighestVersion(
            List<Long> versions, long expected, String content) throws Exception {
        for (int i = 0; i < versions.size(); i++) {
            long version = versions.get(i);
            apply(replaceDocument(version, "content of " + version + ", order " + i));
        }
        assertEquals(machine.state().getDocumentVersion(), expected);
        assertEquals(machine.state().getDocument().toStringUtf8(), content);
    }

    @Test
    public void changesTheRevisionOnlyIfGatewaysAreAffected() throws Exception {
        long first = apply(replaceDocument(2, "a")).getRevision();
        assertEquals(apply(replaceDocument(2, "b")).getRevision(), first);
        assertEquals(apply(setDrained("perth-a", true)).getRevision(), index);
        long drained = index;
        assertEquals(apply(setDrained("perth-a", true)).getRevision(), drained);
        assertEquals(
                apply(closeWindow(9, 4)).getRevision(),
                drained,
                "usage windows must not change the revision");
    }

    @Test
    public void undrainsADataCentre() throws Exception {
        apply(setDrained("perth-a", true));
        apply(setDrained("perth-b", true));
        apply(setDrained("perth-a", false));
        assertEquals(machine.state().getDrainedDataCentresList(), List.of("perth-b"));
    }

    @Test
    public void keepsTheFirstCountsOfAWindow() throws Exception {
        apply(closeWindow(9, 4));
        UsageWindow kept = apply(closeWindow(9, 5)).getWindow();
        assertEquals(kept.getCountsOrThrow("bars"), 4);
    }

    @Test
    public void evictsTheOldestWindowsAndNeverReopensThem() throws Exception {
        for (int i = 0; i <= TrafficStateMachine.MAX_USAGE_WINDOWS; i++) {
            apply(closeWindow(i, 1));
        }
        apply(closeWindow(0, 2));
        assertEquals(machine.state().getWindowsCount(), TrafficStateMachine.MAX_USAGE_WINDOWS);
        assertEquals(machine.state().getWindows(0).getWindow(), 1);
    }

    @Test
    public void takesAPromotedVersionBackOnlyUntilItsMoveIsDone() throws Exception {
        apply(beginMove("v2"));
        apply(endMove("v2", MoveStage.PROMOTED));
        assertEquals(machine.state().getMoves(0).getStage(), MoveStage.PROMOTED);
        apply(endMove("v2", MoveStage.TAKEN_BACK));
        assertEquals(machine.state().getMoves(0).getStage(), MoveStage.TAKEN_BACK);
        apply(beginMove("v3"));
        apply(endMove("v3", MoveStage.PROMOTED));
        apply(endMove("v3", MoveStage.DONE));
        apply(endMove("v3", MoveStage.TAKEN_BACK));
        assertEquals(machine.state().getMoves(0).getStage(), MoveStage.DONE);
    }

    @Test
    public void endsAMoveOnceAndIgnoresRepeatedCommands() throws Exception {
        apply(beginMove("v2"));
        apply(endMove("v2", MoveStage.TAKEN_BACK));
        apply(endMove("v2", MoveStage.DONE));
        apply(beginMove("v2"));
        assertEquals(machine.state().getMoves(0).getStage(), MoveStage.TAKEN_BACK);
        apply(beginMove("v3"));
        assertEquals(machine.state().getMoves(0).getTarget(), "v3");
        assertEquals(machine.state().getMoves(0).getStage(), MoveStage.RUNNING);
    }

    @Test
    public void restoresASnapshot() throws Exception {
        apply(replaceDocument(4, "four"));
        apply(setDrained("perth-a", true));
        TrafficStateMachine other = new TrafficStateMachine();
        other.restore(machine.state().toByteArray());
        assertEquals(other.state(), machine.state());
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void rejectsAnUnknownCommand() throws Exception {
        apply(TrafficCommand.getDefaultInstance());
    }

    private TrafficResult apply(TrafficCommand command) throws Exception {
        index++;
        return TrafficResult.parseFrom(machine.apply(index, command.toByteArray()));
    }

    private static TrafficCommand replaceDocument(long version, String content) {
        return TrafficCommand.newBuilder()
                .setReplaceDocument(
                        ReplaceDocument.newBuilder()
                                .setVersion(version)
                                .setDocument(ByteString.copyFromUtf8(content)))
                .build();
    }

    private static TrafficCommand setDrained(String dataCentre, boolean isDrained) {
        return TrafficCommand.newBuilder()
                .setSetDrained(
                        SetDrained.newBuilder().setDataCentre(dataCentre).setDrained(isDrained))
                .build();
    }

    private static TrafficCommand closeWindow(long number, long count) {
        return TrafficCommand.newBuilder()
                .setCloseWindow(UsageWindow.newBuilder().setWindow(number).putCounts("bars", count))
                .build();
    }

    private static TrafficCommand beginMove(String target) {
        return TrafficCommand.newBuilder()
                .setBeginMove(BeginMove.newBuilder().setService("chat").setTarget(target))
                .build();
    }

    private static TrafficCommand endMove(String target, MoveStage stage) {
        return TrafficCommand.newBuilder()
                .setEndMove(
                        EndMove.newBuilder().setService("chat").setTarget(target).setStage(stage))
                .build();
    }
}
