package org.cardamomthread.daemon.configuration;

import java.util.HashSet;
import java.util.Set;
import org.cardamomthread.configuration.state.ConfigurationCommands;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.membership.node.DrainRecord;
import org.cardamomthread.membership.node.NodeDirectory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the states of data centres in the replicated configuration and in the gossip consistent.
 *
 * <p>Both merge states by epoch, so the order of updates does not matter. A drain record that an
 * operator set on a node while the configuration group was unreachable is proposed until the log
 * contains it or a later one. Runs on the control thread.
 */
public final class DrainStateSynchronizer {

    private static final Logger LOGGER = LoggerFactory.getLogger(DrainStateSynchronizer.class);
    private static final long INTERVAL_MS = 1_000;

    private final ConfigurationHolder configuration;
    private final NodeDirectory directory;
    private final ConfigurationProposer proposer;
    private final ControlThread control;

    /**
     * Creates a synchronizer that does not run yet.
     *
     * @param configuration the active configuration
     * @param directory distributes drain records by gossip
     * @param proposer proposes configuration changes
     * @param control runs the updates and proposals
     */
    public DrainStateSynchronizer(
            ConfigurationHolder configuration,
            NodeDirectory directory,
            ConfigurationProposer proposer,
            ControlThread control) {
        this.configuration = configuration;
        this.directory = directory;
        this.proposer = proposer;
        this.control = control;
    }

    /** Starts to synchronize in both directions. */
    public void start() {
        configuration.addListener(view -> control.execute(() -> publishToGossip(view)));
        control.scheduleWithFixedDelay(INTERVAL_MS, this::proposeMissing);
    }

    private void publishToGossip(ConfigurationView view) {
        Set<DataCentreId> dataCentres = new HashSet<>(view.declarations().dataCentres().keySet());
        dataCentres.addAll(directory.dataCentres());
        for (DataCentreId dataCentre : dataCentres) {
            DataCentreState state = view.dataCentreState(dataCentre);
            if (state.epoch() > 0) {
                directory.mergeDrainRecord(
                        new DrainRecord(dataCentre, state.epoch(), state.drained()));
            }
        }
    }

    private void proposeMissing() {
        ConfigurationView view = configuration.getView();
        for (DrainRecord record : directory.drainRecords()) {
            DataCentreState gossipedState = new DataCentreState(record.drained(), record.epoch());
            DataCentreState replicatedState = view.dataCentreState(record.dataCentre());
            if (!replicatedState.merge(gossipedState).equals(replicatedState)) {
                propose(record.dataCentre(), gossipedState);
            }
        }
    }

    private void propose(DataCentreId dataCentre, DataCentreState state) {
        OperationId operation =
                new OperationId(
                        "gossip:" + dataCentre + ":" + state.epoch() + ":" + state.drained());
        proposer.propose(ConfigurationCommands.setDataCentreState(operation, dataCentre, state))
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                LOGGER.debug(
                                        "cannot propose the state of data centre {}; will retry",
                                        dataCentre,
                                        failure);
                            }
                        });
    }
}
