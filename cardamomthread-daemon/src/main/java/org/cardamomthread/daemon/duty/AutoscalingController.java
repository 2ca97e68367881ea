package org.cardamomthread.daemon.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cardamomthread.configuration.traffic.EndpointScaling;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.ControllerLeaseHolder;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.ScalingRequest;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.registry.RegisteredEndpoint;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Requests endpoints from the platform for the services with autoscaling.
 *
 * <p>Invariant: requests are sent only while the controller lease is held, and at most one at a
 * time for each kind of endpoint. Runs on the control thread.
 */
public final class AutoscalingController {

    private static final Duration RUN_INTERVAL = Duration.ofMillis(500);

    private static final int STATUS_SUCCESS_END = 300;
    private static final int STATUS_CONFLICT = 409;

    private final Dependencies dependencies;
    private final EndpointPlanner planner = new EndpointPlanner();
    private final Map<ServiceId, EndpointPlanner.Plan> lastPlans = new HashMap<>();

    /**
     * Groups the collaborators of the controller. Immutable.
     *
     * @param lease determines whether this node may act
     * @param viewServer determines whether the gateways' reports are complete
     * @param gatewayReports supplies the load of each service
     * @param routes supplies the current traffic document
     * @param registry supplies the registered endpoints
     * @param replica supplies the version moves
     * @param dialect encodes the requests
     * @param platform sends the requests
     * @param timeSource supplies monotonic time
     * @param log receives an entry for each request
     */
    public record Dependencies(
            ControllerLease lease,
            ViewServer viewServer,
            GatewayReports gatewayReports,
            Supplier<Optional<RouteTable>> routes,
            EndpointRegistry registry,
            TrafficReplica replica,
            PlatformDialect dialect,
            FencedPlatformClient platform,
            TimeSource timeSource,
            DecisionLog log) {}

    /**
     * Creates the controller; {@link #start} schedules it.
     *
     * @param dependencies the collaborators
     */
    public AutoscalingController(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Schedules the controller.
     *
     * @param controlThread the thread on which it runs
     */
    public void start(ControlThread controlThread) {
        controlThread.scheduleWithFixedDelay(RUN_INTERVAL.toMillis(), () -> run(controlThread));
    }

    private void run(ControlThread controlThread) {
        Optional<RouteTable> routes = dependencies.routes().get();
        if (routes.isEmpty()) {
            return;
        }
        boolean mayAct =
                dependencies.lease().currentHolder().isPresent()
                        && dependencies.viewServer().isSettled();
        Map<ServiceId, List<RegisteredEndpoint>> presentByService =
                dependencies.registry().listPresent().stream()
                        .collect(Collectors.groupingBy(entry -> entry.report().service()));
        for (TrafficService service : routes.get().document().services()) {
            if (service.scaling().isEmpty()) {
                continue;
            }
            List<RegisteredEndpoint> present =
                    presentByService.getOrDefault(service.id(), List.of());
            planner.observe(
                    service,
                    present,
                    findMove(service),
                    dependencies.timeSource().monotonicMs(),
                    dependencies.timeSource().millis());
            if (mayAct) {
                scale(service, service.scaling().get(), present, controlThread);
            }
        }
    }

    private void scale(
            TrafficService service,
            EndpointScaling scaling,
            List<RegisteredEndpoint> present,
            ControlThread controlThread) {
        EndpointPlanner.Plan plan =
                planner.plan(
                        service,
                        scaling,
                        present,
                        findMove(service),
                        dependencies.gatewayReports().sumServiceLoad(service.id().value()),
                        dependencies.timeSource().monotonicMs(),
                        dependencies.timeSource().millis());
        logChange(service, plan);
        for (EndpointPlanner.Request request : plan.requests()) {
            sendRequest(service, request, plan.needed(), controlThread);
        }
    }

    private Optional<VersionMoveState> findMove(TrafficService service) {
        return dependencies.replica().getState().getMovesList().stream()
                .filter(move -> move.getService().equals(service.id().value()))
                .findFirst();
    }

    private void logChange(TrafficService service, EndpointPlanner.Plan plan) {
        EndpointPlanner.Plan previous = lastPlans.put(service.id(), plan);
        boolean isChange =
                previous == null
                        || previous.usable() != plan.usable()
                        || previous.desired() != plan.desired()
                        || previous.isMoving() != plan.isMoving();
        if (isChange) {
            dependencies.log().log(
                    "endpoints-planned",
                    "service",
                    service.id(),
                    "usable",
                    plan.usable(),
                    "desired",
                    plan.desired(),
                    "needed",
                    plan.needed(),
                    "moving",
                    plan.isMoving(),
                    "requests",
                    plan.requests().size());
        }
    }

    private void sendRequest(
            TrafficService service,
            EndpointPlanner.Request planned,
            int needed,
            ControlThread controlThread) {
        Optional<ControllerLeaseHolder> holder = dependencies.lease().currentHolder();
        if (holder.isEmpty()) {
            return;
        }
        planner.recordSent(planned, dependencies.timeSource().monotonicMs());
        ScalingRequest request =
                new ScalingRequest(
                        service.id(),
                        planned.kind().dataCentre(),
                        planned.count(),
                        planned.kind().priceClass() == PriceClass.RECLAIMABLE);
        dependencies
                .platform()
                .send(dependencies.dialect().encodeScalingRequest(request, holder.get()))
                .whenComplete(
                        (status, failure) ->
                                controlThread.execute(
                                        () ->
                                                handleResult(
                                                        planned, request, needed, status,
                                                        failure)));
    }

    private void handleResult(
            EndpointPlanner.Request planned,
            ScalingRequest request,
            int needed,
            Integer status,
            Throwable failure) {
        long nowMs = dependencies.timeSource().monotonicMs();
        boolean isAccepted = failure == null && status < STATUS_SUCCESS_END;
        if (isAccepted) {
            planner.recordAccepted(planned, nowMs);
        } else {
            planner.recordFailed(planned, failure != null || status == STATUS_CONFLICT, nowMs);
        }
        dependencies.log().log(
                isAccepted ? "endpoints-ordered" : "endpoints-not-ordered",
                "service",
                request.service(),
                "dataCentre",
                request.dataCentre(),
                "reclaimable",
                request.isReclaimable(),
                "count",
                request.desiredCount(),
                "needed",
                needed,
                "result",
                failure == null ? status : failure.getMessage());
    }
}
