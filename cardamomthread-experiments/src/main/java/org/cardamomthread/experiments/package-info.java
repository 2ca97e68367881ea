/** Replays, benchmarks and measurements. */
package org.cardamomthread.experiments;
