package org.cardamomthread.core.hash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RandomSeeds}. */
public class RandomSeedsTests {

    private static final long START_MS = 1_796_401_892_478L;

    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {{2}, {600}};
    }

    @Test(dataProvider = "bounds")
    public void nodesThatStartTogetherMakeDifferentChoices(int bound) {
        Set<String> choices = new HashSet<>();
        for (int node = 0; node < 50; node++) {
            SplittableRandom random =
                    new SplittableRandom(RandomSeeds.derive("10.1.0." + node, START_MS));
            choices.add(random.ints(40, 0, bound).boxed().toList().toString());
        }
        assertEquals(choices.size(), 50);
    }

    @Test
    public void oneNodeMakesDifferentChoicesAfterEachStart() {
        assertTrue(
                RandomSeeds.derive("10.1.0.1", START_MS)
                        != RandomSeeds.derive("10.1.0.1", START_MS + 1));
    }
}
