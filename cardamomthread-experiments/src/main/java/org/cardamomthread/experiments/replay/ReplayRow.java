package org.cardamomthread.experiments.replay;

import java.util.List;

/**
 * The results of one strategy on one workload, one per seed.
 *
 * @param workload name of the workload
 * @param strategy name of the strategy
 * @param results results in the order of the seeds
 */
record ReplayRow(String workload, String strategy, List<ReplayResult> results) {

    double mean(ReplayResult.Measure measure) {
        return results.stream().mapToDouble(result -> result.measure(measure)).average().orElse(0);
    }

    double min(ReplayResult.Measure measure) {
        return results.stream().mapToDouble(result -> result.measure(measure)).min().orElse(0);
    }

    double max(ReplayResult.Measure measure) {
        return results.stream().mapToDouble(result -> result.measure(measure)).max().orElse(0);
    }
}
