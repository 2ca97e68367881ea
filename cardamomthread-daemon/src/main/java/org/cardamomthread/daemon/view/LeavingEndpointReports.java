package org.cardamomthread.daemon.view;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.generated.LeavingEndpoint;
import org.cardamomthread.daemon.view.generated.ViewRequest;

/**
 * Marks endpoints as draining that have stated to a gateway that they leave, so that the other
 * gateways learn it before the endpoints' own reports arrive. Not thread-safe.
 */
public final class LeavingEndpointReports {

    private final EndpointRegistry registry;
    private final DecisionLog log;

    /**
     * Creates an instance.
     *
     * @param registry the registry of this control node
     * @param log receives an entry for each endpoint that is marked
     */
    public LeavingEndpointReports(EndpointRegistry registry, DecisionLog log) {
        this.registry = registry;
        this.log = log;
    }

    /**
     * Applies what a gateway reports.
     *
     * @param gateway the gateway that reports
     * @param request the request that carries its report
     */
    public void accept(NodeId gateway, ViewRequest request) {
        for (LeavingEndpoint leaving : request.getLeavingList()) {
            if (!Identifiers.isValid(leaving.getId())) {
                log.log("leaving-endpoint-ignored", "node", gateway, "reason", "invalid id");
            } else if (registry.drain(new EndpointId(leaving.getId()), leaving.getBornMs())) {
                log.log(
                        "endpoint-leaving",
                        "endpoint",
                        leaving.getId(),
                        "bornMs",
                        leaving.getBornMs(),
                        "reportedBy",
                        gateway,
                        "registerRevision",
                        registry.revision());
            }
        }
    }
}
