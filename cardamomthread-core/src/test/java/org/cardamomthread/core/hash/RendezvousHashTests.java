package org.cardamomthread.core.hash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RendezvousHash}. */
public class RendezvousHashTests {

    private static final List<String> NODES = List.of("node-a", "node-b", "node-c", "node-d");

    @DataProvider
    public Object[][] keys() {
        return new Object[][] {{"runner-1"}, {"runner-2"}, {"runner-3"}, {"app-1"}, {"app-2"}};
    }

    @Test(dataProvider = "keys")
    public void selectionIsIndependentOfCandidateOrder(String key) {
        List<String> shuffled = new ArrayList<>(NODES);
        Collections.shuffle(shuffled, new Random(7));
        assertEquals(choose(key, shuffled), choose(key, NODES));
    }

    @Test(dataProvider = "keys")
    public void lossOfOtherCandidateDoesNotChangeSelection(String key) {
        String selected = choose(key, NODES);
        for (String removed : NODES) {
            List<String> remaining = NODES.stream().filter(node -> !node.equals(removed)).toList();
            if (!removed.equals(selected)) {
                assertEquals(choose(key, remaining), selected);
            }
        }
    }

    @Test
    public void returnsEmptyWithoutCandidates() {
        assertTrue(RendezvousHash.choose("key", List.<String>of(), Function.identity()).isEmpty());
    }

    private static String choose(String key, List<String> candidates) {
        return RendezvousHash.choose(key, candidates, Function.identity()).orElseThrow();
    }
}
