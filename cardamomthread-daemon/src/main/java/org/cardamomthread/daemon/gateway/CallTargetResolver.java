package org.cardamomthread.daemon.gateway;

import java.util.Optional;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.Profile;
import org.cardamomthread.configuration.declaration.Route;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.configuration.declaration.ServiceKind;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.http.ProblemDetail;

/**
 * Resolves the service, route and traffic class of a call from the current declarations.
 *
 * <p>Stateless and thread-safe.
 */
final class CallTargetResolver {

    private static final double MAX_RISK_WEIGHT = 1.0;
    private static final double PRICE_WEIGHT_SCALE = 2.0;

    private CallTargetResolver() {}

    /** Thrown if a call matches no declared service or route. */
    static final class UnknownTargetException extends Exception {

        private static final long serialVersionUID = 1L;

        private final transient ProblemDetail problem;

        UnknownTargetException(ProblemDetail problem) {
            super(problem.detail());
            this.problem = problem;
        }

        ProblemDetail getProblem() {
            return problem;
        }
    }

    /** Resolves the target of a call to a model service. */
    static CallTarget resolveModelCall(Declarations declarations, String name, RouteId route)
            throws UnknownTargetException {
        Service service = findService(declarations, name, ServiceKind.MODEL);
        return createTarget(declarations, service, route, true);
    }

    /** Resolves the target of a call to a plain service, that is one that is not a model. */
    static CallTarget resolvePlainCall(
            Declarations declarations, String name, String method, String path)
            throws UnknownTargetException {
        Service service = findService(declarations, name, ServiceKind.SERVICE);
        Optional<Route> route = service.findRoute(method, path);
        if (route.isEmpty()) {
            throw createUnknownTargetException(
                    "unknown-route",
                    String.format(
                            "service \"%s\" has no route for %s %s: declare one, or correct the"
                                    + " path",
                            name, method, path));
        }
        return createTarget(declarations, service, route.get().id(), route.get().repeatable());
    }

    private static Service findService(Declarations declarations, String name, ServiceKind kind)
            throws UnknownTargetException {
        Optional<Service> found =
                Identifiers.isValid(name)
                        ? declarations.findService(new ServiceId(name))
                        : Optional.empty();
        if (found.isEmpty() || found.get().kind() != kind) {
            throw createUnknownTargetException(
                    "unknown-service",
                    String.format(
                            "%s service \"%s\" is not declared: declare it, or correct the name",
                            kind == ServiceKind.MODEL ? "model" : "plain", name));
        }
        return found.get();
    }

    private static CallTarget createTarget(
            Declarations declarations, Service service, RouteId route, boolean isRepeatable) {
        Profile profile = declarations.findProfile(service.profile()).orElseThrow();
        return new CallTarget(
                service.id(),
                route,
                service.kind() == ServiceKind.MODEL,
                isRepeatable,
                createTrafficClass(profile, service));
    }

    private static TrafficClass createTrafficClass(Profile profile, Service service) {
        double riskWeight = MAX_RISK_WEIGHT - profile.risk().maxReclaimProbability();
        return new TrafficClass(
                !profile.patience().patient(),
                Math.max(1, profile.latency().firstTokenMs()),
                Math.max(1, profile.latency().tokenGapMs()),
                profile.cost().weight() * PRICE_WEIGHT_SCALE,
                Math.max(0, riskWeight),
                service.limits().requestTimeoutMs());
    }

    private static UnknownTargetException createUnknownTargetException(String type, String detail) {
        return new UnknownTargetException(
                ProblemDetail.createNotRun(404, type, "Not found", detail));
    }
}
