package org.cardamomthread.execution.stream;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.execution.stream.ResponseStreamTracker.Verdict;
import org.cardamomthread.execution.stream.ResumePlan.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the verdicts of {@link ResponseStreamTracker} and the selection of a {@link ResumePlan}.
 */
public class StreamProgressTests {

    private static final OptionalLong TEN_BYTES = OptionalLong.of(10);

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {
                false,
                answer(a -> a.onHead("r1", TEN_BYTES), a -> a.onBodyBytes(10)),
                Verdict.COMPLETE
            },
            {
                false,
                answer(a -> a.onHead("r2", TEN_BYTES), a -> a.onBodyBytes(10)),
                Verdict.WRONG_REQUEST
            },
            {
                false,
                answer(a -> a.onHead(null, TEN_BYTES), a -> a.onBodyBytes(10)),
                Verdict.WRONG_REQUEST
            },
            {
                false,
                answer(a -> a.onHead("r1", TEN_BYTES), a -> a.onBodyBytes(9)),
                Verdict.TRUNCATED
            },
            {
                false,
                answer(a -> a.onHead("r1", TEN_BYTES), a -> a.onBodyBytes(11)),
                Verdict.TRAILING_DATA
            },
            {true, stream(a -> {}), Verdict.TRUNCATED},
            {true, stream(ResponseStreamTracker::onEndMarker), Verdict.COMPLETE},
            {
                true,
                stream(
                        a -> {
                            a.onEndMarker();
                            a.delivered("x", 1);
                        }),
                Verdict.TRAILING_DATA
            },
        };
    }

    @Test(dataProvider = "answers")
    public void returnsTheVerdictForAnAnswer(
            boolean stream, Consumer<ResponseStreamTracker> events, Verdict verdict) {
        ResponseStreamTracker progress = new ResponseStreamTracker(new RequestId("r1"), stream);
        events.accept(progress);
        assertEquals(progress.verdict(), verdict);
    }

    @Test
    public void bodyWithoutContentLengthIsCompleteOnlyAfterItsLastChunk() {
        ResponseStreamTracker progress = new ResponseStreamTracker(new RequestId("r1"), false);
        progress.onHead("r1", OptionalLong.empty());
        progress.onBodyBytes(5);
        assertEquals(progress.verdict(), Verdict.TRUNCATED);
        progress.onMessageEnd();
        assertEquals(progress.verdict(), Verdict.COMPLETE);
    }

    @DataProvider
    public Object[][] resumeCases() {
        EngineCapabilities none = new EngineCapabilities(false, false);
        EngineCapabilities resume = new EngineCapabilities(true, false);
        EngineCapabilities all = new EngineCapabilities(true, true);
        return new Object[][] {
            {0, true, none, none, Kind.RESTART, 100},
            {7, true, none, none, Kind.FAIL, 0},
            {7, true, none, resume, Kind.REPLAY, 107},
            {7, true, all, resume, Kind.REPLAY, 107},
            {7, true, all, all, Kind.TRANSFER, 0},
            {0, false, none, none, Kind.FAIL, 0},
        };
    }

    @Test(dataProvider = "resumeCases")
    public void choosesThePlanWithTheFewestRecomputedTokens(
            int tokens,
            boolean repeatable,
            EngineCapabilities from,
            EngineCapabilities to,
            Kind kind,
            int recomputed) {
        ResumePlan plan =
                ResumePlan.select(new DeliveredOutput("text", tokens), 100, repeatable, from, to);
        assertEquals(plan.kind(), kind);
        assertEquals(plan.recomputedTokens(), recomputed);
    }

    private static Consumer<ResponseStreamTracker> answer(
            Consumer<ResponseStreamTracker> head, Consumer<ResponseStreamTracker> body) {
        return head.andThen(body).andThen(ResponseStreamTracker::onMessageEnd);
    }

    private static Consumer<ResponseStreamTracker> stream(Consumer<ResponseStreamTracker> ending) {
        return answer(a -> a.onHead("r1", OptionalLong.empty()), a -> a.delivered("one", 1))
                .andThen(ending);
    }
}
