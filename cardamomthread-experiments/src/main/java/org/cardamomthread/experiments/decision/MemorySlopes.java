package org.cardamomthread.experiments.decision;

import java.lang.management.ManagementFactory;
import java.util.Locale;
import java.util.function.IntFunction;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.policy.admission.EndpointClassLimits;
import org.cardamomthread.policy.admission.SlowStart;
import org.cardamomthread.policy.rollout.CallObservation;
import org.cardamomthread.policy.rollout.EvidenceRecorder;
import org.cardamomthread.policy.rollout.RolloutPlan;
import org.cardamomthread.policy.rollout.VersionRole;
import org.cardamomthread.policy.routing.CandidateIndex;
import org.cardamomthread.policy.routing.PrefixCacheEstimator;
import org.cardamomthread.policy.routing.PrefixIndex;

/**
 * Prints the heap usage of the decision state at several sizes, which shows the cost per element.
 */
public final class MemorySlopes {

    private static final int[] ENDPOINTS = {10, 100, 1_000, 4_000, 12_000};
    private static final int[] PREFIX_ENTRIES = {1 << 12, 1 << 14, 1 << 16, 1 << 18};
    private static final int[] EVIDENCE_EPOCHS = {8, 32, 64, 128};
    private static final int GC_RUNS = 4;
    private static final int ROUTES = 3;

    private MemorySlopes() {}

    /**
     * Runs the measurement and prints its results.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        print("candidate index, endpoints", ENDPOINTS, MemorySlopes::candidateIndex);
        print("slow start, endpoints", ENDPOINTS, MemorySlopes::slowStarts);
        print("prefix index, entries", PREFIX_ENTRIES, MemorySlopes::prefixIndex);
        print("rollout evidence, epochs", EVIDENCE_EPOCHS, MemorySlopes::evidence);
    }

    private static void print(String name, int[] sizes, IntFunction<Object> factory) {
        factory.apply(sizes[0]);
        for (int size : sizes) {
            long before = usedBytes();
            Object state = factory.apply(size);
            long bytes = usedBytes() - before;
            System.out.printf(
                    Locale.ROOT,
                    "%-32s %8d %12d bytes %10.1f bytes each%n",
                    name,
                    size,
                    bytes,
                    (double) bytes / size);
            if (state.hashCode() == 0) {
                System.out.println();
            }
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static Object candidateIndex(int endpoints) {
        CandidateIndex index = new CandidateIndex(PrefixCacheEstimator.NONE);
        DecisionFixtures.fill(index, endpoints);
        return index;
    }

    private static Object slowStarts(int endpoints) {
        SlowStart[] limits = new SlowStart[endpoints];
        EndpointClassLimits shared = new EndpointClassLimits(2, 16, 30_000);
        for (int i = 0; i < endpoints; i++) {
            limits[i] = new SlowStart(shared, 0);
        }
        return limits;
    }

    private static Object prefixIndex(int entries) {
        PrefixIndex index = DecisionFixtures.prefixes(entries);
        for (int i = 0; i < entries / DecisionFixtures.PROMPT_BLOCKS; i++) {
            EndpointId id = new EndpointId("endpoint-" + i % 100);
            index.recordSentPrompt(id, DecisionFixtures.prompt(i), i);
        }
        return index;
    }

    private static Object evidence(int epochs) {
        RolloutPlan plan = RolloutPlan.withDefaultSteps(0, 1_800_000);
        EvidenceRecorder recorder = new EvidenceRecorder(new NodeId("node"), plan);
        for (int epoch = 0; epoch < epochs; epoch++) {
            for (int route = 0; route < ROUTES; route++) {
                for (VersionRole role : VersionRole.values()) {
                    recorder.record(
                            new RouteId("route-" + route),
                            role,
                            new CallObservation(false, true, false, false),
                            epoch * plan.epochMs());
                }
            }
        }
        return recorder;
    }
}
