/** Measures the time, allocation and memory of decisions against the size of the fleet. */
package org.cardamomthread.experiments.decision;
