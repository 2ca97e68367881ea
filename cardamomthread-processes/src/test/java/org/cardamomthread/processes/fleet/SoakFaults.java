package org.cardamomthread.processes.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.cardamomthread.processes.ManagedProcess;

/**
 * Harms a running fleet from outside, in an order that a seed decides.
 *
 * <p>Invariant: at most one control node at a time has lost its disk and not become a voter again.
 * Used by one thread.
 */
final class SoakFaults {

    private final Fleet fleet;
    private final List<RunnerStandIn> runners;
    private final Random random;
    private int wiped = -1;

    SoakFaults(Fleet fleet, List<RunnerStandIn> runners, Random random) {
        this.fleet = fleet;
        this.runners = runners;
        this.random = random;
    }

    /** Causes one fault, waits for a while and undoes it; returns its description. */
    String next() throws Exception {
        return switch (random.nextInt(9)) {
            case 0, 1 -> killControl();
            case 2 -> wipeControl();
            case 3 -> freeze(fleet.control(control()), "control");
            case 4 -> freeze(fleet.gateway(gateway()), "gateway");
            case 5 -> restartGateway(true);
            case 6 -> restartGateway(false);
            case 7 -> harmLinks();
            default -> killSeveral();
        };
    }

    private String killControl() throws Exception {
        int index = control();
        fleet.control(index).kill();
        Thread.sleep(random.nextInt(1_500));
        fleet.startControl(index, false);
        return "killed control " + index;
    }

    private String wipeControl() throws Exception {
        if (wiped >= 0 && !votes(wiped)) {
            return killControl();
        }
        int index = control();
        fleet.control(index).kill();
        fleet.wipe(index);
        wiped = index;
        Thread.sleep(random.nextInt(1_000));
        fleet.startControl(index, false);
        return "wiped control " + index;
    }

    private String freeze(ManagedProcess process, String name) throws Exception {
        process.freeze();
        Thread.sleep(200 + random.nextInt(3_000));
        process.thaw();
        return "froze " + name;
    }

    private String restartGateway(boolean isGraceful) throws Exception {
        int index = gateway();
        if (isGraceful) {
            fleet.gateway(index).terminate();
            fleet.gateway(index).awaitExit(12_000);
        } else {
            fleet.gateway(index).kill();
        }
        fleet.startGateway(index);
        return "restarted gateway " + index + (isGraceful ? " gracefully" : "");
    }

    private String harmLinks() throws Exception {
        LinkProxy proxy = runners.get(random.nextInt(runners.size())).proxy();
        switch (random.nextInt(3)) {
            case 0 -> proxy.reset();
            case 1 -> proxy.delay(20 + random.nextInt(80));
            default -> proxy.silence(true);
        }
        Thread.sleep(300 + random.nextInt(1_200));
        proxy.delay(0);
        proxy.silence(false);
        proxy.reset();
        return "harmed a link";
    }

    private String killSeveral() throws Exception {
        int first = control();
        int second = (first + 1) % Fleet.CONTROL_NODES;
        int gateway = gateway();
        fleet.control(first).kill();
        fleet.control(second).kill();
        fleet.gateway(gateway).kill();
        Thread.sleep(random.nextInt(800));
        fleet.startControl(second, false);
        fleet.startGateway(gateway);
        fleet.startControl(first, false);
        return "killed control " + first + ", " + second + " and gateway " + gateway;
    }

    private boolean votes(int index) {
        try {
            return fleet.metrics(Fleet.controlIp(index)).body().contains("_votes 1.0");
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private int control() {
        return random.nextInt(Fleet.CONTROL_NODES);
    }

    private int gateway() {
        return random.nextInt(Fleet.GATEWAYS);
    }
}
