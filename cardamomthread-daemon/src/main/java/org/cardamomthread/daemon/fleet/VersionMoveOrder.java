package org.cardamomthread.daemon.fleet;

import org.cardamomthread.configuration.traffic.generated.BeginMove;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Moves a service to another version. Immutable.
 *
 * @param service the service
 * @param target the version to move to
 * @param startedAtMs when the order was received, as wall clock time in milliseconds
 * @param durationMs the time in which the move must be completed, in milliseconds
 */
record VersionMoveOrder(ServiceId service, VersionId target, long startedAtMs, long durationMs)
        implements PendingOrder {

    @Override
    public long lastOrderIndex(TrafficState state) {
        return state.getMoveOrderIndexesOrDefault(service.value(), 0);
    }

    @Override
    public TrafficCommand toCommand(long expectedOrderIndex) {
        return TrafficCommand.newBuilder()
                .setBeginMove(
                        BeginMove.newBuilder()
                                .setService(service.value())
                                .setTarget(target.value())
                                .setStartedAtMs(startedAtMs)
                                .setDurationMs(durationMs)
                                .setExpectedOrderIndex(expectedOrderIndex))
                .build();
    }
}
