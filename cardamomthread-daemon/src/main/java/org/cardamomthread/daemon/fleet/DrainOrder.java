package org.cardamomthread.daemon.fleet;

import org.cardamomthread.configuration.traffic.generated.SetDrained;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Takes a data centre out of service or back. Immutable.
 *
 * @param dataCentre the data centre
 * @param isDrained whether it is to be out of service
 */
record DrainOrder(DataCentreId dataCentre, boolean isDrained) implements PendingOrder {

    @Override
    public long lastOrderIndex(TrafficState state) {
        return state.getDrainOrderIndexesOrDefault(dataCentre.value(), 0);
    }

    @Override
    public TrafficCommand toCommand(long expectedOrderIndex) {
        return TrafficCommand.newBuilder()
                .setSetDrained(
                        SetDrained.newBuilder()
                                .setDataCentre(dataCentre.value())
                                .setDrained(isDrained)
                                .setExpectedOrderIndex(expectedOrderIndex))
                .build();
    }
}
