/**
 * Runs the replicated state of execution: claims, which guard calls that must not be repeated, and
 * jobs.
 */
package org.cardamomthread.daemon.execution;
