package org.cardamomthread.experiments.decision;

import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.routing.CandidateIndex;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointSelector;
import org.cardamomthread.policy.routing.PrefixIndex;
import org.cardamomthread.policy.routing.ScoringEndpointSelector;
import org.cardamomthread.policy.routing.Selection;
import org.cardamomthread.policy.routing.SelectionRequest;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures endpoint selection and index updates as a function of the number of endpoints. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class SelectionBenchmark {

    private static final int PROMPTS = 1_024;
    private static final int PREFIX_BLOCKS = 1 << 17;

    /** Number of endpoints in the index. */
    @Param({"10", "100", "1000", "12000"})
    private int endpoints;

    private PrefixIndex prefixes;
    private CandidateIndex index;
    private EndpointSelector selector;
    private SelectionRequest[] requests;
    private EndpointCandidate[] updates;
    private SplittableRandom random;
    private int next;

    /** Fills the index, with each prompt cached by two endpoints. */
    @Setup(Level.Trial)
    public void fill() {
        prefixes = DecisionFixtures.prefixes(PREFIX_BLOCKS);
        index = new CandidateIndex(prefixes);
        DecisionFixtures.fill(index, endpoints);
        selector = new ScoringEndpointSelector(prefixes);
        requests = new SelectionRequest[PROMPTS];
        Random fixed = new Random(1);
        for (int i = 0; i < PROMPTS; i++) {
            requests[i] = DecisionFixtures.request(DecisionFixtures.prompt(i));
            for (int holder = 0; holder < 2; holder++) {
                EndpointId id = new EndpointId("endpoint-" + fixed.nextInt(endpoints));
                prefixes.recordSentPrompt(id, requests[i].prefix(), 0);
            }
        }
        updates = new EndpointCandidate[endpoints];
        for (int i = 0; i < endpoints; i++) {
            updates[i] = DecisionFixtures.candidate(i, fixed);
        }
        random = new SplittableRandom(1);
    }

    /**
     * Selects an endpoint for a request.
     *
     * @return the selection, so that the JVM cannot eliminate the call
     */
    @Benchmark
    public Selection choose() {
        SelectionRequest request = requests[next++ & (PROMPTS - 1)];
        List<EndpointCandidate> candidates = index.selectCandidates(request, 1_000, random);
        return selector.select(request, candidates, 1_000, random);
    }

    /**
     * Updates one endpoint in the index.
     *
     * @return the index, so that the JVM cannot eliminate the call
     */
    @Benchmark
    public CandidateIndex update() {
        index.put(updates[next++ % endpoints]);
        return index;
    }
}
