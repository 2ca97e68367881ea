package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which events {@link EventIdSequence} accepts after another. */
public class EventIdSequenceTests {

    @DataProvider
    public Object[][] sequences() {
        return new Object[][] {
            {"one run", "1 2 3", "", true},
            {"one run with gaps", "1 5 9", "", true},
            {"repeats an event", "1 2 2", "", false},
            {"goes back", "1 2 1", "", false},
            {"resumes", "1 2", "3 4", true},
            {"resumes with the usual step", "10 20", "30", true},
            {"resumes after a first event", "1", "2", true},
            {"starts again", "1 2", "1", false},
            {"repeats the last event", "1 2", "2", false},
            {"leaves an event out", "1 2", "4", false},
            {"leaves an event out after the first", "1", "3", false},
            {"has no ids any more", "1 2", "-", false},
            {"never had ids", "- -", "-", true},
            {"text ids", "a b", "c", true},
            {"repeats a text id", "a b", "b", false},
            {"overflows", "-9223372036854775808", "9223372036854775807", false},
        };
    }

    @Test(dataProvider = "sequences")
    public void acceptsOnlyWhatContinuesTheStream(
            String name, String firstRun, String secondRun, boolean expected) {
        EventIdSequence sequence = new EventIdSequence();
        boolean accepted = acceptAll(sequence, firstRun);
        sequence.beginRun();
        accepted &= acceptAll(sequence, secondRun);
        assertEquals(accepted, expected, name);
    }

    @DataProvider
    public Object[][] streamsThatBreak() {
        return new Object[][] {
            {"numbers", "1 2", true},
            {"no event", "", false},
            {"no ids", "- -", false},
            {"an event without an id at last", "1 -", false},
            {"an event without an id before", "- 1", true},
            {"text ids", "a b", false},
        };
    }

    @Test(dataProvider = "streamsThatBreak")
    public void resumesOnlyIfTheOrderCanBeChecked(String name, String ids, boolean expected) {
        EventIdSequence sequence = new EventIdSequence();
        acceptAll(sequence, ids);
        assertEquals(sequence.mayResume(), expected, name);
    }

    @Test
    public void acceptsNoEventOfAPartThatIsOutOfOrder() {
        EventIdSequence sequence = new EventIdSequence();
        acceptAll(sequence, "1");
        assertFalse(sequence.accept(List.of(Optional.of("2"), Optional.of("2"))));
        assertEquals(sequence.lastId(), Optional.of("1"));
        sequence.beginRun();
        assertTrue(sequence.accept(List.of(Optional.of("2"))));
    }

    private static boolean acceptAll(EventIdSequence sequence, String ids) {
        boolean accepted = true;
        for (String id : ids.isEmpty() ? new String[0] : ids.split(" ")) {
            accepted &=
                    sequence.accept(List.of("-".equals(id) ? Optional.empty() : Optional.of(id)));
        }
        return accepted;
    }
}
