package org.cardamomthread.policy.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cardamomthread.core.id.EndpointId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RecentPrompts}. */
public class RecentPromptsTests {

    private final EndpointLoad endpoint = new EndpointLoad(new EndpointId("e"));

    private static PromptChain prompt(List<String> parts) {
        PromptChain prompt = new PromptChain(parts.size());
        parts.forEach(part -> prompt.add(part, 100));
        return prompt;
    }

    @DataProvider
    public Object[][] prompts() {
        return new Object[][] {
            {"same prompt", List.of("a", "b", "c"), 0, 300},
            {"shared beginning", List.of("a", "b", "x"), 0, 200},
            {"other first part", List.of("x", "b", "c"), 0, 0},
            {"other order", List.of("b", "a", "c"), 0, 0},
            {"at the end of the time", List.of("a", "b"), RecentPrompts.CACHED_MS, 200},
            {"after the time", List.of("a", "b"), RecentPrompts.CACHED_MS + 1, 0},
        };
    }

    /** Guards against credit for parts that a cache by beginnings cannot use. */
    @Test(dataProvider = "prompts")
    public void creditsLongestCommonBeginning(
            String name, List<String> parts, long elapsedMs, long expectedTokens) {
        RecentPrompts recent = new RecentPrompts();
        recent.record(prompt(List.of("a", "b", "c")), endpoint, 1_000);
        assertEquals(recent.find(prompt(parts), 1_000 + elapsedMs).at(endpoint), expectedTokens);
    }

    /** Guards against memory that grows with the number of distinct prompts. */
    @Test
    public void dropsOldestBeginnings() {
        RecentPrompts recent = new RecentPrompts();
        recent.record(prompt(List.of("a")), endpoint, 0);
        for (int i = 0; i < RecentPrompts.MAX_BEGINNINGS; i++) {
            recent.record(prompt(List.of("p" + i)), endpoint, 0);
        }
        assertEquals(recent.find(prompt(List.of("a")), 0).at(endpoint), 0);
    }

    @Test
    public void remembersLatestEndpoints() {
        RecentPrompts recent = new RecentPrompts();
        PromptChain prompt = prompt(List.of("a"));
        recent.record(prompt, endpoint, 0);
        for (int i = 0; i < RecentPrompts.MAX_ENDPOINTS - 1; i++) {
            recent.record(prompt, new EndpointLoad(new EndpointId("x" + i)), 1);
        }
        assertEquals(recent.find(prompt, 2).at(endpoint), 100);
        recent.record(prompt, new EndpointLoad(new EndpointId("y")), 2);
        assertEquals(recent.find(prompt, 2).at(endpoint), 0);
    }
}
