/** Measurements of the replicated claims. */
package org.cardamomthread.experiments.execution;
