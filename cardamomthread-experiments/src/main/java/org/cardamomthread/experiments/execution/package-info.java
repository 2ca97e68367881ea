/** Measurements of claims. */
package org.cardamomthread.experiments.execution;
