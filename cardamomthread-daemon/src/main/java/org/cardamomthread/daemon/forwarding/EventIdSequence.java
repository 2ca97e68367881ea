package org.cardamomthread.daemon.forwarding;

import java.util.Optional;

/**
 * Checks by the ids of its events that a stream which several runs produce is whole: each run must
 * go on where the one before ended.
 *
 * <p>The platform defines that ids increase, and does not define their steps. A run may therefore
 * begin at most the largest step seen so far after the last event. Ids that are not numbers are
 * only compared for equality. Not thread-safe.
 */
final class EventIdSequence {

    private Optional<String> lastId = Optional.empty();
    private long largestStep = 1;
    private boolean isFirstOfRun = true;

    /** Returns the id of the last event that was accepted. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Begins another run, whose first event must follow the last one that was accepted. */
    void beginRun() {
        isFirstOfRun = true;
    }

    /**
     * Accepts the next event if it may follow the last one.
     *
     * @param id the id of the event, or empty if it has none
     * @return false if it repeats an event, or leaves one out between two runs
     */
    boolean accept(Optional<String> id) {
        boolean mustContinue = isFirstOfRun && lastId.isPresent();
        if (id.isEmpty()) {
            return !mustContinue;
        }
        if (lastId.isPresent() && !mayFollow(id.get(), mustContinue)) {
            return false;
        }
        isFirstOfRun = false;
        lastId = id;
        return true;
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
