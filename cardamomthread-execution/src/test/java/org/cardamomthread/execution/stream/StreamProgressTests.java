package org.cardamomthread.execution.stream;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.execution.stream.ResumePlan.Kind;
import org.cardamomthread.execution.stream.StreamProgress.Verdict;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the verdicts of {@link StreamProgress} and the selection of a {@link ResumePlan}. */
public class StreamProgressTests {

    private static final OptionalLong TEN_BYTES = OptionalLong.of(10);

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {false, answer(a -> a.begin("r1", TEN_BYTES), a -> a.received(10)), Verdict.WHOLE},
            {
                false,
                answer(a -> a.begin("r2", TEN_BYTES), a -> a.received(10)),
                Verdict.WRONG_REQUEST
            },
            {
                false,
                answer(a -> a.begin(null, TEN_BYTES), a -> a.received(10)),
                Verdict.WRONG_REQUEST
            },
            {false, answer(a -> a.begin("r1", TEN_BYTES), a -> a.received(9)), Verdict.TRUNCATED},
            {false, answer(a -> a.begin("r1", TEN_BYTES), a -> a.received(11)), Verdict.TRAILING},
            {true, stream(a -> {}), Verdict.TRUNCATED},
            {true, stream(StreamProgress::endMarker), Verdict.WHOLE},
            {
                true,
                stream(
                        a -> {
                            a.endMarker();
                            a.delivered("x", 1);
                        }),
                Verdict.TRAILING
            },
        };
    }

    @Test(dataProvider = "answers")
    public void returnsTheVerdictForAnAnswer(
            boolean stream, Consumer<StreamProgress> events, Verdict verdict) {
        StreamProgress progress = new StreamProgress(new RequestId("r1"), stream);
        events.accept(progress);
        assertEquals(progress.verdict(), verdict);
    }

    @Test
    public void bodyWithoutContentLengthIsCompleteOnlyAfterItsLastChunk() {
        StreamProgress progress = new StreamProgress(new RequestId("r1"), false);
        progress.begin("r1", OptionalLong.empty());
        progress.received(5);
        assertEquals(progress.verdict(), Verdict.TRUNCATED);
        progress.messageEnded();
        assertEquals(progress.verdict(), Verdict.WHOLE);
    }

    @DataProvider
    public Object[][] resumeCases() {
        EngineAbilities none = new EngineAbilities(false, false);
        EngineAbilities resume = new EngineAbilities(true, false);
        EngineAbilities all = new EngineAbilities(true, true);
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
            EngineAbilities from,
            EngineAbilities to,
            Kind kind,
            int recomputed) {
        ResumePlan plan =
                ResumePlan.choose(new Delivered("text", tokens), 100, repeatable, from, to);
        assertEquals(plan.kind(), kind);
        assertEquals(plan.recomputedTokens(), recomputed);
    }

    private static Consumer<StreamProgress> answer(
            Consumer<StreamProgress> head, Consumer<StreamProgress> body) {
        return head.andThen(body).andThen(StreamProgress::messageEnded);
    }

    private static Consumer<StreamProgress> stream(Consumer<StreamProgress> ending) {
        return answer(a -> a.begin("r1", OptionalLong.empty()), a -> a.delivered("one", 1))
                .andThen(ending);
    }
}
