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

/** Tests model calls through nodes to an engine. */
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
        cluster.awaitServed(Answers.CHAT, Answers.chat("warm", 1, false));
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
    public void streamsTheWholeAnswer(String node) throws Exception {
        String question = "stream through " + node;
        HttpResponse<String> answer = chat(node, question, true);
        assertEquals(Answers.completeStream(answer.body()), Answers.expected(question, TOKENS));
    }

    @Test(dataProvider = "nodes")
    public void answersWhole(String node) throws Exception {
        String question = "whole through " + node;
        HttpResponse<String> answer = chat(node, question, false);
        assertEquals(Answers.wholeText(answer.body()), Answers.expected(question, TOKENS));
    }

    @DataProvider
    public Object[][] brokenAnswers() {
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

    @Test(dataProvider = "brokenAnswers")
    public void neverPassesABrokenAnswerOnAsComplete(String kind, boolean isStreamed)
            throws Exception {
        cluster.calls().fault(engine, "{\"kind\":\"" + kind + "\",\"count\":3}");
        int complete = 0;
        for (int i = 0; i < 8; i++) {
            String question = kind + isStreamed + i;
            try {
                HttpResponse<String> answer = chat("perth-a-1", question, isStreamed);
                complete += checkIfComplete(answer, question, isStreamed);
            } catch (IOException e) {
                assertTrue(isStreamed, "only a stream may break off: " + e);
            }
        }
        assertTrue(complete >= 5, complete + " of 8 were complete");
    }

    private int checkIfComplete(HttpResponse<String> answer, String question, boolean isStreamed)
            throws Exception {
        if (answer.statusCode() != 200) {
            return 0;
        }
        if (!isStreamed) {
            assertEquals(Answers.wholeText(answer.body()), Answers.expected(question, TOKENS));
        } else if (!Answers.isComplete(answer.body())) {
            throw new AssertionError("a stream ended without its end marker: " + answer.body());
        } else {
            assertEquals(Answers.streamedText(answer.body()), Answers.expected(question, TOKENS));
        }
        return 1;
    }

    private HttpResponse<String> chat(String node, String question, boolean isStreamed)
            throws Exception {
        String body = Answers.chat(question, TOKENS, isStreamed);
        return cluster.call(node, Answers.CHAT, body, UUID.randomUUID());
    }
}
