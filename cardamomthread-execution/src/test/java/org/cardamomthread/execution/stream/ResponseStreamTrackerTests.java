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
public class ResponseStreamTrackerTests {

    private static final OptionalLong TEN_BYTES = OptionalLong.of(10);

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {
                false,
                response(
                        tracker -> tracker.onHead("r1", TEN_BYTES),
                        tracker -> tracker.onBodyBytes(10)),
                Verdict.COMPLETE
            },
            {
                false,
                response(
                        tracker -> tracker.onHead("r2", TEN_BYTES),
                        tracker -> tracker.onBodyBytes(10)),
                Verdict.WRONG_REQUEST
            },
            {
                false,
                response(
                        tracker -> tracker.onHead(null, TEN_BYTES),
                        tracker -> tracker.onBodyBytes(10)),
                Verdict.WRONG_REQUEST
            },
            {
                false,
                response(
                        tracker -> tracker.onHead("r1", TEN_BYTES),
                        tracker -> tracker.onBodyBytes(9)),
                Verdict.TRUNCATED
            },
            {
                false,
                response(
                        tracker -> tracker.onHead("r1", TEN_BYTES),
                        tracker -> tracker.onBodyBytes(11)),
                Verdict.TRAILING_DATA
            },
            {true, stream(tracker -> {}), Verdict.TRUNCATED},
            {true, stream(ResponseStreamTracker::onEndMarker), Verdict.COMPLETE},
            {
                true,
                stream(
                        tracker -> {
                            tracker.onEndMarker();
                            tracker.delivered("x", 1);
                        }),
                Verdict.TRAILING_DATA
            },
        };
    }

    @Test(dataProvider = "responses")
    public void returnsTheVerdictForAResponse(
            boolean stream, Consumer<ResponseStreamTracker> events, Verdict verdict) {
        ResponseStreamTracker tracker = new ResponseStreamTracker(new RequestId("r1"), stream);
        events.accept(tracker);
        assertEquals(tracker.verdict(), verdict);
    }

    @Test
    public void bodyWithoutContentLengthIsCompleteOnlyAfterItsLastChunk() {
        ResponseStreamTracker tracker = new ResponseStreamTracker(new RequestId("r1"), false);
        tracker.onHead("r1", OptionalLong.empty());
        tracker.onBodyBytes(5);
        assertEquals(tracker.verdict(), Verdict.TRUNCATED);
        tracker.onMessageEnd();
        assertEquals(tracker.verdict(), Verdict.COMPLETE);
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
    public void selectsThePlanWithTheFewestRecomputedTokens(
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

    private static Consumer<ResponseStreamTracker> response(
            Consumer<ResponseStreamTracker> head, Consumer<ResponseStreamTracker> body) {
        return head.andThen(body).andThen(ResponseStreamTracker::onMessageEnd);
    }

    private static Consumer<ResponseStreamTracker> stream(Consumer<ResponseStreamTracker> ending) {
        return response(
                        tracker -> tracker.onHead("r1", OptionalLong.empty()),
                        tracker -> tracker.delivered("one", 1))
                .andThen(ending);
    }
}
