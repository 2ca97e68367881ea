package org.cardamomthread.processes.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.cardamomthread.processes.ManagedProcess;

/**
 * Injects faults into a running fleet in an order determined by a seeded random generator.
 *
 * <p>Invariant: at most one control node at a time has lost its disk without having become a voter
 * again. Used by one thread.
 */
final class FaultInjector {

    private final Fleet fleet;
    private final List<RunnerStandIn> runners;
    private final Random random;
    private int wipedNode = -1;

    FaultInjector(Fleet fleet, List<RunnerStandIn> runners, Random random) {
        this.fleet = fleet;
        this.runners = runners;
        this.random = random;
    }

    /**
     * Injects one fault, waits for a random time and reverts it; returns a description of the
     * fault.
     */
    String injectNext() throws Exception {
        return switch (random.nextInt(9)) {
            case 0, 1 -> killControlNode();
            case 2 -> wipeControlNode();
            case 3 -> suspend(fleet.control(randomControlNode()), "control");
            case 4 -> suspend(fleet.gateway(randomGateway()), "gateway");
            case 5 -> restartGateway(true);
            case 6 -> restartGateway(false);
            case 7 -> disruptLink();
            default -> killMajorityAndGateway();
        };
    }

    private String killControlNode() throws Exception {
        int index = randomControlNode();
        fleet.control(index).kill();
        Thread.sleep(random.nextInt(1_500));
        fleet.startControl(index, false);
        return "killed control " + index;
    }

    private String wipeControlNode() throws Exception {
        if (wipedNode >= 0 && !isVoter(wipedNode)) {
            return killControlNode();
        }
        int index = randomControlNode();
        fleet.control(index).kill();
        fleet.wipe(index);
        wipedNode = index;
        Thread.sleep(random.nextInt(1_000));
        fleet.startControl(index, false);
        return "wiped control " + index;
    }

    private String suspend(ManagedProcess process, String name) throws Exception {
        process.suspend();
        Thread.sleep(200 + random.nextInt(3_000));
        process.resume();
        return "suspended " + name;
    }

    private String restartGateway(boolean isGraceful) throws Exception {
        int index = randomGateway();
        if (isGraceful) {
            fleet.gateway(index).terminate();
            fleet.gateway(index).awaitExit(12_000);
        } else {
            fleet.gateway(index).kill();
        }
        fleet.startGateway(index);
        return "restarted gateway " + index + (isGraceful ? " gracefully" : "");
    }

    private String disruptLink() throws Exception {
        LinkProxy proxy = runners.get(random.nextInt(runners.size())).proxy();
        switch (random.nextInt(3)) {
            case 0 -> proxy.reset();
            case 1 -> proxy.setDelay(20 + random.nextInt(80));
            default -> proxy.setDropping(true);
        }
        Thread.sleep(300 + random.nextInt(1_200));
        proxy.setDelay(0);
        proxy.setDropping(false);
        proxy.reset();
        return "disrupted a link";
    }

    private String killMajorityAndGateway() throws Exception {
        int first = randomControlNode();
        int second = (first + 1) % Fleet.CONTROL_NODES;
        int gateway = randomGateway();
        fleet.control(first).kill();
        fleet.control(second).kill();
        fleet.gateway(gateway).kill();
        Thread.sleep(random.nextInt(800));
        fleet.startControl(second, false);
        fleet.startGateway(gateway);
        fleet.startControl(first, false);
        return "killed control " + first + ", " + second + " and gateway " + gateway;
    }

    private boolean isVoter(int index) {
        try {
            return fleet.metrics(Fleet.controlIp(index)).body().contains("_votes 1.0");
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private int randomControlNode() {
        return random.nextInt(Fleet.CONTROL_NODES);
    }

    private int randomGateway() {
        return random.nextInt(Fleet.GATEWAYS);
    }
}
