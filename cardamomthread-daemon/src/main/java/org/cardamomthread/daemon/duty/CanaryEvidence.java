package org.cardamomthread.daemon.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.cardamomthread.daemon.view.generated.VersionCounts;

/**
 * Accumulates the results of a canary version and of the other versions during a version move.
 *
 * <p>A version may turn bad at any time, and its earlier good results would hide that. The versions
 * are therefore compared over every period that ends now. Not thread-safe.
 */
final class CanaryEvidence {

    /** Number of results and of timed results without which a version cannot be judged. */
    static final int MIN_RESULTS = 10;

    /** Maximum number of periods compared; older ones are merged with the next. */
    private static final int MAX_PERIODS = 64;

    private final Deque<Period> periods = new ArrayDeque<>();
    private VersionCounts lastCanary;
    private VersionCounts lastFormer;

    /** Holds the results of a period. */
    private record Period(VersionCounts canary, VersionCounts former) {
        Period plus(Period other) {
            return new Period(add(canary, other.canary), add(former, other.former));
        }
    }

    /**
     * Adds the results since the previous call; the first call only sets the starting point.
     *
     * @param canary sums of the canary version since the gateways' start
     * @param former sums of the other versions since the gateways' start
     */
    void update(VersionCounts canary, VersionCounts former) {
        if (lastCanary != null) {
            periods.addLast(new Period(increase(lastCanary, canary), increase(lastFormer, former)));
        }
        lastCanary = canary;
        lastFormer = former;
        if (periods.size() > MAX_PERIODS) {
            Period first = periods.removeFirst();
            periods.addFirst(first.plus(periods.removeFirst()));
        }
    }

    /** Returns the results of the canary version since the first update. */
    VersionCounts canary() {
        return total().canary();
    }

    /** Returns the results of the other versions since the first update. */
    VersionCounts former() {
        return total().former();
    }

    /**
     * Returns how the canary version is worse than the others, or empty if it is not known to be.
     */
    Optional<CanaryEvaluator.Regression> findRegression() {
        Period sum = emptyPeriod();
        Iterator<Period> latestFirst = periods.descendingIterator();
        VersionCounts former = former();
        while (latestFirst.hasNext()) {
            sum = sum.plus(latestFirst.next());
            Optional<CanaryEvaluator.Regression> regression =
                    CanaryEvaluator.findRegression(sum.canary(), former);
            if (regression.isPresent()) {
                return regression;
            }
        }
        return Optional.empty();
    }

    /** Returns whether there are enough results to judge the canary version. */
    boolean isSufficient() {
        VersionCounts canary = canary();
        return canary.getAnswers() >= MIN_RESULTS && canary.getTimed() >= MIN_RESULTS;
    }

    /** Returns whether the canary version seems to be worse, though that may be chance. */
    boolean isSuspected() {
        return CanaryEvaluator.isSuspected(canary(), former());
    }

    private Period total() {
        return periods.stream().reduce(emptyPeriod(), Period::plus);
    }

    private static Period emptyPeriod() {
        return new Period(VersionCounts.getDefaultInstance(), VersionCounts.getDefaultInstance());
    }

    private static VersionCounts add(VersionCounts first, VersionCounts second) {
        return first.toBuilder()
                .setAnswers(first.getAnswers() + second.getAnswers())
                .setFailures(first.getFailures() + second.getFailures())
                .setTotalMs(first.getTotalMs() + second.getTotalMs())
                .setTimed(first.getTimed() + second.getTimed())
                .setSlow(first.getSlow() + second.getSlow())
                .build();
    }

    /** Returns the increase of each count; a gateway that has restarted counts from 0 again. */
    private static VersionCounts increase(VersionCounts before, VersionCounts after) {
        return VersionCounts.newBuilder()
                .setAnswers(Math.max(0, after.getAnswers() - before.getAnswers()))
                .setFailures(Math.max(0, after.getFailures() - before.getFailures()))
                .setTotalMs(Math.max(0, after.getTotalMs() - before.getTotalMs()))
                .setTimed(Math.max(0, after.getTimed() - before.getTimed()))
                .setSlow(Math.max(0, after.getSlow() - before.getSlow()))
                .build();
    }
}
