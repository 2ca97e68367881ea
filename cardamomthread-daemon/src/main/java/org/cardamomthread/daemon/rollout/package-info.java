/**
 * Runs version moves: counts calls by version, gathers the counts, decides, and divides traffic.
 */
package org.cardamomthread.daemon.rollout;
