package org.cardamomthread.daemon.gateway;

import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.core.id.VersionId;

/** Sends each call to its service's current version. Safe for use by several threads. */
final class CurrentVersionRouter implements VersionRouter {

    private final ConfigurationSource configuration;

    CurrentVersionRouter(ConfigurationSource configuration) {
        this.configuration = configuration;
    }

    @Override
    public VersionId choose(CallTarget target, RandomGenerator random) {
        return configuration
                .getDeclarations()
                .findService(target.service())
                .map(Service::currentVersion)
                .orElseThrow(
                        () ->
                                new IllegalStateException(
                                        "service " + target.service() + " must be declared"));
    }
}
