package org.cardamomthread.daemon.membership;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.EndpointClass;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.home.BearableRequests;
import org.cardamomthread.membership.home.EndpointStatus;

/**
 * Judges what an endpoint bears by its declared class: the cold bound after a start and whenever it
 * says that it is cold, the warm bound afterwards, nothing while it leaves or its data centre is
 * drained.
 *
 * <p>Safe for use by several threads.
 */
public final class ClassBearableRequests implements BearableRequests {

    private static final int UNDECLARED_CLASS_BOUND = 1;

    private final Supplier<Declarations> declarations;
    private final Predicate<DataCentreId> isDrained;
    private final TimeSource timeSource;

    /**
     * Creates the judgement.
     *
     * @param declarations gives the declarations in force
     * @param isDrained tells whether a data centre takes no new work
     * @param timeSource the node's clock
     */
    public ClassBearableRequests(
            Supplier<Declarations> declarations,
            Predicate<DataCentreId> isDrained,
            TimeSource timeSource) {
        this.declarations = declarations;
        this.isDrained = isDrained;
        this.timeSource = timeSource;
    }

    @Override
    public int bearable(EndpointStatus endpoint) {
        EndpointDescription description = endpoint.announcement().description();
        if (!description.state().takesRequests()
                || isDrained.test(endpoint.announcement().dataCentre())) {
            return 0;
        }
        Optional<EndpointClass> declared =
                declarations.get().findEndpointClass(description.endpointClass());
        if (declared.isEmpty()) {
            return UNDECLARED_CLASS_BOUND;
        }
        return isCold(endpoint, declared.get())
                ? declared.get().coldConcurrency()
                : declared.get().warmConcurrency();
    }

    private boolean isCold(EndpointStatus endpoint, EndpointClass declared) {
        long ageMs = timeSource.monotonicMs() - endpoint.incarnationSinceMs();
        return endpoint.announcement().description().state() == EndpointState.COLD
                || ageMs < declared.warmUpMs();
    }
}
