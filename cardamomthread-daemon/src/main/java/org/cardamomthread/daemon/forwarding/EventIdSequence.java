package org.cardamomthread.daemon.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * Checks by the ids of its events that a stream which several runs produce is whole: each run must
 * go on where the one before ended.
 *
 * <p>The platform defines that ids increase, and does not define their steps. A run may therefore
 * begin at most the largest step seen so far after the last event. Ids that are not numbers are
 * only compared for equality, so that a stream with such ids cannot be resumed. Not thread-safe.
 */
final class EventIdSequence {

    private Optional<String> lastId = Optional.empty();
    private long largestStep = 1;
    private boolean isFirstOfRun = true;
    private boolean hasEventAfterLastId;

    /** Returns the id of the last event that was accepted. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns whether it can be checked that another run goes on after the last event. */
    boolean mayResume() {
        return !hasEventAfterLastId && lastId.filter(EventIdSequence::isNumber).isPresent();
    }

    /** Begins another run, whose first event must follow the last one that was accepted. */
    void beginRun() {
        isFirstOfRun = true;
    }

    /**
     * Accepts the next events if each may follow the one before; otherwise none is accepted.
     *
     * @param ids the ids of the events, empty for an event that has none
     * @return false if one repeats an event, or leaves one out between two runs
     */
    boolean accept(List<Optional<String>> ids) {
        Optional<String> previousId = lastId;
        long previousStep = largestStep;
        boolean wasFirstOfRun = isFirstOfRun;
        boolean hadEventAfterLastId = hasEventAfterLastId;
        for (Optional<String> id : ids) {
            if (!accept(id)) {
                lastId = previousId;
                largestStep = previousStep;
                isFirstOfRun = wasFirstOfRun;
                hasEventAfterLastId = hadEventAfterLastId;
                return false;
            }
        }
        return true;
    }

    private boolean accept(Optional<String> id) {
        boolean mustContinue = isFirstOfRun && lastId.isPresent();
        if (id.isEmpty()) {
            hasEventAfterLastId = true;
            return !mustContinue;
        }
        if (lastId.isPresent() && !mayFollow(id.get(), mustContinue)) {
            return false;
        }
        isFirstOfRun = false;
        hasEventAfterLastId = false;
        lastId = id;
        return true;
    }

    private static boolean isNumber(String id) {
        try {
            Long.parseLong(id);
            return true;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private boolean mayFollow(String id, boolean mustContinue) {
        long step;
        try {
            step = Math.subtractExact(Long.parseLong(id), Long.parseLong(lastId.orElseThrow()));
        } catch (NumberFormatException e) {
            return !id.equals(lastId.orElseThrow());
        } catch (ArithmeticException e) {
            return false;
        }
        if (step <= 0 || mustContinue && step > largestStep) {
            return false;
        }
        largestStep = Math.max(largestStep, step);
        return true;
    }
}
