package org.cardamomthread.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds the evidence against one prompt part since the last answer under it, and its trial.
 *
 * <p>Invariants: losses within {@link PromptPartQuarantine#CRASH_WINDOW_MS} of a crash belong to
 * it, as do all losses of one incarnation of an endpoint; each trial that is lost is a crash of its
 * own. The pause before a trial grows with the crashes after which other requests were answered. It
 * does not apply to a request that lacks a part with which this one has been lost in every trial,
 * since either may be the cause. Not thread-safe.
 */
final class PartRecord {

    private static final int MAX_ENDPOINTS_PER_CRASH = 64;
    private static final int MAX_CRASHES_WITH_ENDPOINTS = 16;

    private final List<Crash> crashes = new ArrayList<>();

    /** The parts that were lost with this one in every trial so far; empty before the first. */
    private final Set<PromptPartKey> companions = new HashSet<>();

    private boolean hasLostTrial;

    /** Crashes whose endpoints are not known, since another node recorded them. */
    private int inheritedCrashes;

    private boolean isVouched;

    /** Crashes after which other requests were answered, so that not every request crashes. */
    private int confirmedCrashes;

    private boolean isLastCrashConfirmed;
    private int lostEndpoints;
    private long lastCrashMs;
    private long nextTrialMs;
    private String trialHolder = "";
    private long trialEndMs;

    /** Holds the endpoints that were lost at about the same time. */
    private static final class Crash {
        private final long lostMs;
        private final Set<String> endpoints = new HashSet<>();

        Crash(long lostMs) {
            this.lostMs = lostMs;
        }

        boolean isNear(long otherMs) {
            return Math.abs(otherMs - lostMs) < PromptPartQuarantine.CRASH_WINDOW_MS;
        }
    }

    int crashCount() {
        return inheritedCrashes + crashes.size();
    }

    int confirmedCrashCount() {
        return confirmedCrashes;
    }

    /** Returns the number of endpoints that were lost, as far as they are known. */
    int lostEndpointCount() {
        return lostEndpoints;
    }

    boolean isVouched() {
        return isVouched;
    }

    long lastCrashMs() {
        return lastCrashMs;
    }

    long nextTrialMs() {
        return nextTrialMs;
    }

    boolean isQuarantined() {
        return PromptPartQuarantine.isQuarantined(crashCount(), isVouched);
    }

    void vouch() {
        isVouched = true;
        updateNextTrial();
    }

    /** Records a loss; returns whether it is a further crash. */
    boolean recordLoss(EndpointLoss loss) {
        isVouched |= loss.isVouched();
        boolean isTrial = !loss.trial().isEmpty() && loss.trial().equals(trialHolder);
        if (isTrial) {
            endTrial();
            updateCompanions(loss.others());
        }
        for (Crash crash : crashes) {
            if (crash.endpoints.contains(loss.endpoint())) {
                return false;
            }
        }
        for (Crash crash : crashes) {
            if (!isTrial && crash.isNear(loss.lostMs())) {
                if (crash.endpoints.size() < MAX_ENDPOINTS_PER_CRASH) {
                    crash.endpoints.add(loss.endpoint());
                    lostEndpoints++;
                }
                return false;
            }
        }
        if (crashes.size() >= MAX_CRASHES_WITH_ENDPOINTS) {
            crashes.remove(0);
            inheritedCrashes++;
        }
        Crash crash = new Crash(loss.lostMs());
        crash.endpoints.add(loss.endpoint());
        crashes.add(crash);
        lostEndpoints++;
        lastCrashMs = crashCount() == 1 ? loss.lostMs() : Math.max(lastCrashMs, loss.lostMs());
        updateNextTrial();
        isLastCrashConfirmed = false;
        return true;
    }

    /** Removes the losses of an endpoint that did not crash; returns whether a crash is removed. */
    boolean retract(String endpoint) {
        for (Crash crash : crashes) {
            if (crash.endpoints.remove(endpoint)) {
                lostEndpoints--;
            }
        }
        boolean isRemoved = crashes.removeIf(crash -> crash.endpoints.isEmpty());
        if (isRemoved) {
            confirmedCrashes = Math.max(0, confirmedCrashes - 1);
            updateNextTrial();
        }
        return isRemoved;
    }

    /** Records that a request was answered that was sent at the given time. */
    void recordOthersAnswered(long sentMs) {
        if (!isLastCrashConfirmed && sentMs > lastCrashMs) {
            isLastCrashConfirmed = true;
            confirmedCrashes++;
        }
    }

    /** Takes over stronger evidence of another node, whose trial may still be in progress. */
    void merge(QuarantineEntry entry, long nowMs) {
        if (entry.crashes() > crashCount()) {
            inheritedCrashes = entry.crashes() - crashes.size();
            lastCrashMs = nowMs;
            lostEndpoints = Math.max(lostEndpoints, entry.lostEndpoints());
            confirmedCrashes = entry.confirmedCrashes();
            isLastCrashConfirmed = false;
            isVouched = entry.isVouched();
            nextTrialMs = nowMs + PromptPartQuarantine.FIRST_TRIAL_PAUSE_MS;
        }
        nextTrialMs = Math.max(nextTrialMs, nowMs + entry.trialWaitMs());
    }

    boolean isOnTrial(long nowMs) {
        return nowMs < trialEndMs;
    }

    String trialHolder() {
        return trialHolder;
    }

    /** Returns the time until a holder may start a trial of a request, in milliseconds, or 0. */
    long trialWaitMs(Collection<PromptPartKey> requestKeys, String holder, long nowMs) {
        long pauseMs = isSeparatedBy(requestKeys) ? 0 : Math.max(0, nextTrialMs - nowMs);
        if (isOnTrial(nowMs) && !trialHolder.equals(holder)) {
            return Math.max(PromptPartQuarantine.TRIAL_RETRY_AFTER_MS, pauseMs);
        }
        return pauseMs;
    }

    /** Returns whether another part has been lost with this one in every trial. */
    boolean hasCompanions() {
        return !companions.isEmpty();
    }

    /** Records that another part is not the cause. */
    void removeCompanion(PromptPartKey key) {
        companions.remove(key);
    }

    void startTrial(String holder, long nowMs) {
        trialHolder = holder;
        trialEndMs = nowMs + PromptPartQuarantine.TRIAL_TIMEOUT_MS;
    }

    void endTrial() {
        trialHolder = "";
        trialEndMs = 0;
    }

    private boolean isSeparatedBy(Collection<PromptPartKey> requestKeys) {
        return hasCompanions() && !requestKeys.containsAll(companions);
    }

    private void updateCompanions(Set<PromptPartKey> others) {
        if (hasLostTrial) {
            companions.retainAll(others);
        } else {
            hasLostTrial = true;
            companions.addAll(others);
        }
    }

    private void updateNextTrial() {
        nextTrialMs =
                lastCrashMs
                        + PromptPartQuarantine.trialPauseMs(
                                crashCount(), confirmedCrashes, isVouched);
    }
}
