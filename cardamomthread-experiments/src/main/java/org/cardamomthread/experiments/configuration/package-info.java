/** Measurements of the replicated configuration. */
package org.cardamomthread.experiments.configuration;
