package org.cardamomthread.configuration.state;

import java.util.List;
import java.util.Objects;

/**
 * The result of a configuration command.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface ConfigurationResult {

    /**
     * Returns the revision that belongs to the result.
     *
     * @return the revision after the command was applied
     */
    long revision();

    /**
     * The command is in effect.
     *
     * @param revision the revision that the command created, or the current revision if the command
     *     changed nothing
     * @param fencingNumber the number that the command issued, or 0 if it issues none
     */
    record Accepted(long revision, long fencingNumber) implements ConfigurationResult {}

    /**
     * The command had no effect, because the state that it is based on has changed since then.
     *
     * @param revision the current revision
     * @param differences what the command would change in the current state, at most {@value
     *     #MAX_DIFFERENCES} entries; empty if the command contains only a difference of
     *     declarations
     * @param differenceCount the total number of differences, including those not listed
     */
    record Stale(long revision, List<String> differences, int differenceCount)
            implements ConfigurationResult {

        /** The maximum number of differences that a result lists. */
        public static final int MAX_DIFFERENCES = 50;

        /** Makes an immutable copy of the differences. */
        public Stale {
            differences = List.copyOf(differences);
        }

        /**
         * Returns a result that lists the first {@value #MAX_DIFFERENCES} differences.
         *
         * @param revision the current revision
         * @param allDifferences all differences
         * @return the result
         */
        public static Stale of(long revision, List<String> allDifferences) {
            int listed = Math.min(allDifferences.size(), MAX_DIFFERENCES);
            return new Stale(revision, allDifferences.subList(0, listed), allDifferences.size());
        }
    }

    /**
     * The command had no effect, because it is invalid in the current state.
     *
     * @param revision the current revision
     * @param reason why the command is rejected
     * @param remedy how to correct the command
     */
    record Rejected(long revision, String reason, String remedy) implements ConfigurationResult {

        /** Validates the components. */
        public Rejected {
            Objects.requireNonNull(reason, "reason must not be null");
            Objects.requireNonNull(remedy, "remedy must not be null");
        }
    }
}
