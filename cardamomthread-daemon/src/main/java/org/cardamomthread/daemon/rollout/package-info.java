/**
 * Runs version moves: counts calls by version, collects the counts, decides on each step, and
 * splits traffic.
 */
package org.cardamomthread.daemon.rollout;
