/**
 * Replays of workloads against simulated endpoints in virtual time, to compare decision strategies.
 */
package org.cardamomthread.experiments.replay;
