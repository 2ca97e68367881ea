/** Replays workloads through the decisions with small fakes of endpoints and a virtual clock. */
package org.cardamomthread.experiments.replay;
