package org.cardamomthread.processes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.UUID;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests model calls to an engine through each node. */
@Test(groups = "processes")
public class ServingTests {

    private static final int TOKENS = 30;

    private Cluster cluster;
    private int engine;

    @BeforeClass
    public void start() throws Exception {
        cluster = new Cluster("serving");
        engine = cluster.startEngine("runner-1", "perth-a");
        cluster.startNodes();
        cluster.awaitServed(ChatCalls.CHAT_PATH, ChatCalls.chat("warm", 1, false));
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @BeforeMethod
    public void clearFaults() throws Exception {
        cluster.calls().clearFaults(engine);
    }

    @DataProvider
    public Object[][] nodes() {
        return cluster.nodes().stream()
                .map(node -> new Object[] {node.id()})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "nodes")
    public void streamsCompleteResponse(String node) throws Exception {
        String question = "stream through " + node;
        HttpResponse<String> response = chat(node, question, true);
        assertEquals(
                ChatCalls.requireCompleteStream(response.body()),
                ChatCalls.expectedText(question, TOKENS));
    }

    @Test(dataProvider = "nodes")
    public void returnsCompleteResponse(String node) throws Exception {
        String question = "complete answer through " + node;
        HttpResponse<String> response = chat(node, question, false);
        assertEquals(
                ChatCalls.messageText(response.body()), ChatCalls.expectedText(question, TOKENS));
    }

    @DataProvider
    public Object[][] responseFaults() {
        return new Object[][] {
            {"crossed", true},
            {"crossed", false},
            {"truncated", true},
            {"truncated", false},
            {"duplicated", true},
            {"duplicated", false},
            {"reset-after-first-byte", true},
            {"reset-before-first-byte", false},
            {"fail", true},
        };
    }

    @Test(dataProvider = "responseFaults")
    public void neverForwardsCorruptResponseAsComplete(String kind, boolean isStreamed)
            throws Exception {
        cluster.calls().injectFault(engine, "{\"kind\":\"" + kind + "\",\"count\":3}");
        int complete = 0;
        for (int i = 0; i < 8; i++) {
            String question = kind + isStreamed + i;
            try {
                HttpResponse<String> response = chat("perth-a-1", question, isStreamed);
                complete += countIfComplete(response, question, isStreamed);
            } catch (IOException e) {
                assertTrue(
                        isStreamed,
                        "only a streamed response may end with a connection error: " + e);
            }
        }
        assertTrue(complete >= 5, complete + " of 8 were complete");
    }

    private int countIfComplete(HttpResponse<String> response, String question, boolean isStreamed)
            throws Exception {
        if (response.statusCode() != 200) {
            return 0;
        }
        if (!isStreamed) {
            assertEquals(
                    ChatCalls.messageText(response.body()),
                    ChatCalls.expectedText(question, TOKENS));
        } else if (!ChatCalls.isComplete(response.body())) {
            throw new AssertionError("a stream ended without its end marker: " + response.body());
        } else {
            assertEquals(
                    ChatCalls.streamedText(response.body()),
                    ChatCalls.expectedText(question, TOKENS));
        }
        return 1;
    }

    private HttpResponse<String> chat(String node, String question, boolean isStreamed)
            throws Exception {
        String body = ChatCalls.chat(question, TOKENS, isStreamed);
        return cluster.call(node, ChatCalls.CHAT_PATH, body, UUID.randomUUID());
    }
}
