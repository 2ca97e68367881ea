package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.ServiceId;

/**
 * Requests a number of endpoints of a service in a data centre. Immutable.
 *
 * @param service the service to scale
 * @param dataCentre the data centre in which the endpoints run
 * @param desiredCount the desired total number of endpoints of this kind
 * @param isReclaimable whether the platform may reclaim them at short notice
 */
public record ScalingRequest(
        ServiceId service, DataCentreId dataCentre, int desiredCount, boolean isReclaimable) {}
