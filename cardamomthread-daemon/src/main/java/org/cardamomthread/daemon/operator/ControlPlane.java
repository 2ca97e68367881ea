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
 * What operators may see and change of the system through one node.
 *
 * <p>Implementations are safe for use by several threads and do not block.
 */
public interface ControlPlane {

    /**
     * Returns the configuration in force on this node.
     *
     * @return the view
     */
    ConfigurationView configuration();

    /**
     * Proposes a command to the configuration group and waits until it is answered.
     *
     * <p>The answer is given only once the command is committed and this node's view is at the
     * answer's revision or a later one.
     *
     * @param command the command
     * @return the answer; fails with {@link ProposalFailedException} if the group gives none
     */
    CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command);

    /**
     * Returns the state of a data centre as this node knows it, from the configuration and from
     * what it has heard directly, joined.
     *
     * @param id the data centre
     * @return its state
     */
    DataCentreState dataCentreState(DataCentreId id);

    /**
     * Takes a state of a data centre in force here and passes it on to the nodes in reach, without
     * the configuration group. The state joins what is known.
     *
     * @param id the data centre
     * @param state the state
     */
    void gossipDataCentreState(DataCentreId id, DataCentreState state);

    /**
     * Returns what this node knows of the system.
     *
     * @return the status
     */
    SystemStatus status();

    /**
     * Explains where a request went.
     *
     * @param id the request
     * @return the explanation, or empty if this node has none
     */
    Optional<RequestExplanation> explain(RequestId id);
}
