package org.cardamomthread.daemon.membership;

import java.util.Optional;
import java.util.function.Predicate;
import org.cardamomthread.configuration.declaration.EndpointClass;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.home.BearableRequests;
import org.cardamomthread.membership.home.EndpointStatus;

/**
 * Judges what an endpoint bears by its declared class: the cold bound after a start and whenever it
 * says that it is cold, the warm bound afterwards, nothing while it leaves, its data centre is out
 * of service or all its versions were stopped.
 *
 * <p>Safe for use by several threads.
 */
public final class ClassBearableRequests implements BearableRequests {

    private static final int UNDECLARED_CLASS_BOUND = 1;

    private final ConfigurationHolder configuration;
    private final Predicate<DataCentreId> isDrained;
    private final TimeSource timeSource;

    /**
     * Creates the judgement.
     *
     * @param configuration the configuration in force
     * @param isDrained tells whether a data centre is out of service
     * @param timeSource the node's clock
     */
    public ClassBearableRequests(
            ConfigurationHolder configuration,
            Predicate<DataCentreId> isDrained,
            TimeSource timeSource) {
        this.configuration = configuration;
        this.isDrained = isDrained;
        this.timeSource = timeSource;
    }

    @Override
    public int bearable(EndpointStatus endpoint) {
        EndpointDescription description = endpoint.announcement().description();
        ConfigurationView view = configuration.getView();
        if (!description.state().takesRequests()
                || isDrained.test(endpoint.announcement().dataCentre())
                || isStopped(description, view)) {
            return 0;
        }
        Optional<EndpointClass> declared =
                view.declarations().findEndpointClass(description.endpointClass());
        if (declared.isEmpty()) {
            return UNDECLARED_CLASS_BOUND;
        }
        return isCold(endpoint, declared.get())
                ? declared.get().coldConcurrency()
                : declared.get().warmConcurrency();
    }

    private static boolean isStopped(EndpointDescription description, ConfigurationView view) {
        return !description.services().isEmpty()
                && description.services().stream()
                        .allMatch(served -> view.isStopped(served.service(), served.version()));
    }

    private boolean isCold(EndpointStatus endpoint, EndpointClass declared) {
        long ageMs = timeSource.monotonicMs() - endpoint.incarnationSinceMs();
        return endpoint.announcement().description().state() == EndpointState.COLD
                || ageMs < declared.warmUpMs();
    }
}
