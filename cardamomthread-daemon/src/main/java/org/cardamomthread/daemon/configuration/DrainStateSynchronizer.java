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
 * Keeps the states of data centres in the replicated configuration and in the gossip the same.
 *
 * <p>Both join by epoch, so the order does not matter. A record that operators gave to a node while
 * it was cut off from the log is proposed until the log holds it or a later one. Runs on the
 * control thread.
 */
public final class DrainStateSynchronizer {

    private static final Logger LOGGER = LoggerFactory.getLogger(DrainStateSynchronizer.class);
    private static final long INTERVAL_MS = 1_000;

    private final ConfigurationHolder configuration;
    private final NodeDirectory directory;
    private final ConfigurationProposer proposer;
    private final ControlThread control;

    /**
     * Creates a synchronisation that does not run yet.
     *
     * @param configuration the configuration in force
     * @param directory spreads records by gossip
     * @param proposer proposes to the replicated log
     * @param control runs the decisions
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

    /** Begins to carry records both ways. */
    public void start() {
        configuration.addListener(view -> control.execute(() -> publishToGossip(view)));
        control.repeat(INTERVAL_MS, this::proposeMissing);
    }

    private void publishToGossip(ConfigurationView view) {
        Set<DataCentreId> dataCentres = new HashSet<>(view.declarations().dataCentres().keySet());
        dataCentres.addAll(directory.dataCentres());
        for (DataCentreId dataCentre : dataCentres) {
            DataCentreState state = view.dataCentreState(dataCentre);
            if (state.epoch() > 0) {
                directory.joinDrain(new DrainRecord(dataCentre, state.epoch(), state.out()));
            }
        }
    }

    private void proposeMissing() {
        ConfigurationView view = configuration.getView();
        for (DrainRecord record : directory.drainRecords()) {
            DataCentreState heard = new DataCentreState(record.out(), record.epoch());
            DataCentreState known = view.dataCentreState(record.dataCentre());
            if (!known.join(heard).equals(known)) {
                propose(record.dataCentre(), heard);
            }
        }
    }

    private void propose(DataCentreId dataCentre, DataCentreState state) {
        OperationId operation =
                new OperationId("gossip:" + dataCentre + ":" + state.epoch() + ":" + state.out());
        proposer.propose(ConfigurationCommands.setDataCentreState(operation, dataCentre, state))
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                LOGGER.debug("the log is out of reach for {}", dataCentre, failure);
                            }
                        });
    }
}
