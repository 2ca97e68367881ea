package org.cardamomthread.configuration.state;

import java.util.List;
import java.util.Objects;

/**
 * The answer to a configuration command.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
public sealed interface ConfigurationResult {

    /**
     * Returns the revision when the command was answered.
     *
     * @return the revision
     */
    long revision();

    /**
     * The command is in force.
     *
     * @param revision the first revision in which it is in force
     * @param fencingNumber the number taken by a command that takes one, otherwise 0
     */
    record Accepted(long revision, long fencingNumber) implements ConfigurationResult {}

    /**
     * The command was made against a state that has changed since; it has no effect.
     *
     * @param revision the current revision
     * @param differences what the command would change now, at most {@value #MAX_DIFFERENCES}
     * @param differenceCount the number of all differences
     */
    record Stale(long revision, List<String> differences, int differenceCount)
            implements ConfigurationResult {

        /** The most differences that an answer holds. */
        public static final int MAX_DIFFERENCES = 50;

        /** Copies the differences. */
        public Stale {
            differences = List.copyOf(differences);
        }

        /**
         * Builds an answer with as many differences as it may hold.
         *
         * @param revision the current revision
         * @param all all differences
         * @return the answer
         */
        public static Stale of(long revision, List<String> all) {
            int shown = Math.min(all.size(), MAX_DIFFERENCES);
            return new Stale(revision, all.subList(0, shown), all.size());
        }
    }

    /**
     * The command has no effect whatever the revision.
     *
     * @param revision the current revision
     * @param reason what is wrong
     * @param remedy what to do about it
     */
    record Rejected(long revision, String reason, String remedy) implements ConfigurationResult {

        /** Checks the arguments. */
        public Rejected {
            Objects.requireNonNull(reason, "reason must not be null");
            Objects.requireNonNull(remedy, "remedy must not be null");
        }
    }
}
