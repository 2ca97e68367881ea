package org.cardamomthread.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.simulation.CreditSimulation;
import org.cardamomthread.membership.simulation.SimulatedEndpoint;
import org.cardamomthread.membership.simulation.SimulatedNode;

/**
 * Executes scenarios on simulated nodes a0, a1, a2 (perth-a) and b0, b1 (perth-b), with endpoints
 * e0, e1, ... in perth-a under constant load. Every request start is checked against the
 * concurrency limit of the endpoint.
 *
 * <p>Verbs: {@code start {endpoints}}, {@code wait {timeMs}}, {@code cut {one, other, timeMs}},
 * {@code freeze {node, timeMs}}, {@code kill {node, downMs}}, {@code drain} and {@code return
 * {dataCentre, at}}, {@code leave}, {@code cold} and {@code restart {endpoint, timeMs}}, {@code
 * lose {message}}, {@code expect-within {timeMs, state}} with state {@code quiet} or {@code
 * working}, {@code expect-unconfirmed {dataCentre, at, nodes}} and {@code expect-drained
 * {dataCentre, drained}}.
 */
final class CreditWorld implements World {

    private static final long QUIET_OBSERVATION_MS = 5_000;

    private final long seed;
    private CreditSimulation simulation;
    private long changedAtMs;

    CreditWorld(long seed) {
        this.seed = seed;
    }

    @Override
    public void execute(Scenario.Step step) {
        switch (step.verb()) {
            case "start" -> simulation = new CreditSimulation(seed, (int) step.number("endpoints"));
            case "wait" -> simulation.run(step.number("timeMs"), false);
            case "cut" ->
                    simulation.partition(
                            step.text("one"), step.text("other"), step.number("timeMs"));
            case "freeze" -> simulation.freeze(node(step, "node"), step.number("timeMs"));
            case "kill" -> simulation.kill(new NodeId(step.text("node")), step.number("downMs"));
            case "drain" -> setDrained(step, true);
            case "return" -> setDrained(step, false);
            case "leave" -> simulation.makeLeaving(endpointToChange(step), step.number("timeMs"));
            case "cold" -> simulation.makeCold(endpointToChange(step), step.number("timeMs"));
            case "restart" -> simulation.restart(endpointToChange(step), step.number("timeMs"));
            case "lose" -> dropMessages(step.text("message"));
            case "expect-within" -> expectWithin(step);
            case "expect-unconfirmed" -> expectUnconfirmed(step);
            case "expect-drained" -> expectDrained(step);
            default -> throw step.unknownVerb();
        }
    }

    private SimulatedNode node(Scenario.Step step, String field) {
        return simulation.node(step.text(field));
    }

    private SimulatedEndpoint endpointToChange(Scenario.Step step) {
        changedAtMs = simulation.nowMs();
        return endpoint(step.text("endpoint"));
    }

    private SimulatedEndpoint endpoint(String id) {
        return simulation.endpoints().stream()
                .filter(endpoint -> endpoint.id().value().equals(id))
                .findAny()
                .orElseThrow();
    }

    private void setDrained(Scenario.Step step, boolean drained) {
        changedAtMs = simulation.nowMs();
        node(step, "at").directory().setDrained(new DataCentreId(step.text("dataCentre")), drained);
    }

    private void dropMessages(String message) {
        PeerMessage.ContentCase lost = PeerMessage.ContentCase.valueOf(message);
        simulation.setDropFilter(sent -> sent.getContentCase() == lost);
    }

    /**
     * Checks that the named endpoint, or all endpoints, are quiet or working the given time after
     * the last change.
     */
    private void expectWithin(Scenario.Step step) {
        long timeMs = step.number("timeMs");
        boolean quiet = step.text("state").equals("quiet");
        simulation.run(quiet ? timeMs + QUIET_OBSERVATION_MS : timeMs, false);
        for (SimulatedEndpoint endpoint : simulation.endpoints()) {
            if (step.has("endpoint") && !step.text("endpoint").equals(endpoint.id().value())) {
                continue;
            }
            long lastStartAfterChangeMs = endpoint.lastStartMs() - changedAtMs;
            if (quiet) {
                assertTrue(
                        lastStartAfterChangeMs <= timeMs,
                        endpoint.id()
                                + " started its last request after "
                                + lastStartAfterChangeMs);
            } else {
                assertTrue(
                        endpoint.lastStartMs() > simulation.nowMs() - timeMs,
                        endpoint.id() + " started no request");
            }
        }
    }

    private void expectUnconfirmed(Scenario.Step step) {
        Set<String> nodes = new TreeSet<>();
        node(step, "at")
                .directory()
                .drainUnconfirmedBy(new DataCentreId(step.text("dataCentre")))
                .forEach(node -> nodes.add(node.value()));
        assertEquals(nodes, new TreeSet<>(step.texts("nodes")), "step " + step.number());
    }

    private void expectDrained(Scenario.Step step) {
        boolean drained = step.text("drained").equals("true");
        for (SimulatedNode node : simulation.nodes()) {
            assertEquals(
                    node.directory().isDrained(new DataCentreId(step.text("dataCentre"))),
                    drained,
                    "as seen by " + node.id());
        }
    }
}
