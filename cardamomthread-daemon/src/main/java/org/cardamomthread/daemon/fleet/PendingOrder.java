package org.cardamomthread.daemon.fleet;

import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;

/** An order of an operator that has not been proposed yet. Implementations are immutable. */
interface PendingOrder {

    /**
     * Returns the log index of the last order on the same subject.
     *
     * @param state a state that is current since the order was received
     * @return the index, 0 if there was none
     */
    long lastOrderIndex(TrafficState state);

    /**
     * Creates the command.
     *
     * @param expectedOrderIndex the index of the last order on the same subject, without which the
     *     command must have no effect
     * @return the command
     */
    TrafficCommand toCommand(long expectedOrderIndex);
}
