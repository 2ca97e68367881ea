package org.cardamomthread.configuration.declaration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.JsonPointers;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RouteId;

/**
 * Validates constraints within and between declarations that the schema cannot express. Not
 * thread-safe.
 */
final class DeclarationsValidator {

    private final Declarations declarations;
    private final DeclarationCollector collector;
    private final List<DocumentProblem> problems = new ArrayList<>();

    DeclarationsValidator(Declarations declarations, DeclarationCollector origins) {
        this.declarations = declarations;
        this.collector = origins;
    }

    List<DocumentProblem> validate() {
        declarations.endpointClasses().values().forEach(this::checkEndpointClass);
        declarations.profiles().values().forEach(this::checkProfile);
        declarations.services().values().forEach(this::checkService);
        checkTokensUnique();
        return problems;
    }

    private void checkEndpointClass(EndpointClass endpointClass) {
        if (endpointClass.coldConcurrency() > endpointClass.warmConcurrency()) {
            report(
                    key(DeclarationKind.ENDPOINT_CLASS, endpointClass.id()),
                    JsonPointers.of("coldConcurrency"),
                    "coldConcurrency is above warmConcurrency " + endpointClass.warmConcurrency(),
                    "lower coldConcurrency to at most warmConcurrency");
        }
    }

    private void checkProfile(Profile profile) {
        Patience patience = profile.patience();
        if (patience.patient() && patience.maxDelayMs() == 0) {
            report(
                    key(DeclarationKind.PROFILE, profile.id()),
                    JsonPointers.of("patience"),
                    "patient traffic has no maxDelayMs",
                    "set maxDelayMs to the maximum delay in milliseconds");
        }
        if (!patience.patient() && patience.maxDelayMs() > 0) {
            report(
                    key(DeclarationKind.PROFILE, profile.id()),
                    JsonPointers.of("patience", "maxDelayMs"),
                    "traffic that is not patient has a maxDelayMs",
                    "set patient: true or remove maxDelayMs");
        }
    }

    private void checkService(Service service) {
        DeclarationKey key = key(DeclarationKind.SERVICE, service.id());
        if (declarations.findProfile(service.profile()).isEmpty()) {
            report(
                    key,
                    JsonPointers.of("profile"),
                    "the profile \"" + service.profile() + "\" is not declared",
                    "declare it under profiles or use one of "
                            + join(declarations.profiles().keySet()));
        }
        if (!service.versions().contains(service.currentVersion())) {
            report(
                    key,
                    JsonPointers.of("currentVersion"),
                    "the version \"" + service.currentVersion() + "\" is not listed in versions",
                    "add it to versions or use one of " + join(service.versions()));
        }
        checkRoutes(key, service);
        checkRolloutSteps(key, service.rollout().steps());
    }

    private void checkRoutes(DeclarationKey key, Service service) {
        boolean isPlainService = service.kind() == ServiceKind.SERVICE;
        if (isPlainService && service.routes().isEmpty()) {
            report(
                    key,
                    JsonPointers.of("routes"),
                    "a plain service has no routes, so every call would be rejected",
                    "add at least one route with id, paths and repeatable");
        }
        if (!isPlainService && !service.routes().isEmpty()) {
            report(
                    key,
                    JsonPointers.of("routes"),
                    "a model has routes",
                    "remove them or write kind: service");
        }
        Set<RouteId> routeIds = new HashSet<>();
        for (int i = 0; i < service.routes().size(); i++) {
            Route route = service.routes().get(i);
            if (!routeIds.add(route.id())) {
                report(
                        key,
                        JsonPointers.of("routes", i, "id"),
                        "the route id \""
                                + route.id()
                                + "\" is used more than once in this service",
                        "give each route an id of its own");
            }
        }
    }

    private void checkRolloutSteps(DeclarationKey key, List<Double> steps) {
        boolean increasing = true;
        for (int i = 1; i < steps.size(); i++) {
            increasing &= steps.get(i - 1) < steps.get(i);
        }
        if (!increasing || steps.get(steps.size() - 1) != 1.0) {
            report(
                    key,
                    JsonPointers.of("rollout", "steps"),
                    "the steps " + steps + " do not increase to 1.0",
                    "write increasing shares that end with 1.0, such as [0.01, 0.1, 0.5, 1.0]");
        }
    }

    private void checkTokensUnique() {
        Map<String, ClientAccountId> accountsByToken = new HashMap<>();
        for (ClientAccount account : declarations.clientAccounts().values()) {
            ClientAccountId otherAccount =
                    accountsByToken.putIfAbsent(account.tokenSha256(), account.id());
            if (otherAccount != null) {
                report(
                        key(DeclarationKind.CLIENT_ACCOUNT, account.id()),
                        "",
                        "the token is already used by client account \"" + otherAccount + "\"",
                        "give each client account a token of its own");
            }
        }
    }

    private void report(DeclarationKey key, String pointer, String detail, String remedy) {
        problems.add(collector.problem(key, pointer, detail, remedy));
    }

    private static DeclarationKey key(DeclarationKind kind, Object id) {
        return new DeclarationKey(kind, id.toString());
    }

    private static String join(Collection<?> ids) {
        return ids.isEmpty()
                ? "(none)"
                : ids.stream().map(Object::toString).collect(Collectors.joining(", "));
    }
}
