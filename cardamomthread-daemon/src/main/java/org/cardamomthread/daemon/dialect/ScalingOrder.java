package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.ServiceId;

/**
 * Orders a number of endpoints of a service in a data centre. Immutable.
 *
 * @param service the service
 * @param dataCentre the data centre
 * @param desiredCount endpoints of this kind wanted
 * @param isReclaimable whether they may be reclaimed at short notice
 */
public record ScalingOrder(
        ServiceId service, DataCentreId dataCentre, int desiredCount, boolean isReclaimable) {}
