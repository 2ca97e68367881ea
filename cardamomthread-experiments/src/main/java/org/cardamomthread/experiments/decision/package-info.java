/**
 * Measures the time, allocation and memory of decisions as a function of the number of endpoints.
 */
package org.cardamomthread.experiments.decision;
