package org.cardamomthread.daemon.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationResult;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.RequestId;

/**
 * The operations that operators can perform on the system through one node.
 *
 * <p>Implementations must be thread-safe and must not block.
 */
public interface ControlPlane {

    /**
     * Returns the active configuration of this node.
     *
     * @return the immutable view
     */
    ConfigurationView configuration();

    /**
     * Proposes a command to the configuration group.
     *
     * <p>The future completes only once the command is committed and this node's view is at the
     * revision of the result or a later one.
     *
     * @param command the command
     * @return completes with the result; fails with {@link ProposalFailedException} if the group
     *     gives none
     */
    CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command);

    /**
     * Returns the state of a data centre as this node knows it, merged from the configuration and
     * from gossip.
     *
     * @param id the data centre
     * @return its state
     */
    DataCentreState dataCentreState(DataCentreId id);

    /**
     * Merges a state of a data centre into the state known on this node and distributes it by
     * gossip, without the configuration group.
     *
     * @param id the data centre
     * @param state the state
     */
    void gossipDataCentreState(DataCentreId id, DataCentreState state);

    /**
     * Returns the status of the system as this node knows it.
     *
     * @return the status
     */
    SystemStatus status();

    /**
     * Returns the decisions that this node made on a request.
     *
     * @param id the request
     * @return the explanation, or empty if this node has recorded none
     */
    Optional<RequestExplanation> explain(RequestId id);
}
