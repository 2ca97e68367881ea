package org.cardamomthread.configuration.settings;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.JsonPointers;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.document.Problem;
import org.cardamomthread.core.id.NodeId;

/** Checks the meaning of settings that have the right form. Confined to one thread. */
final class NodeSettingsValidator {

    private static final int MIN_PEER_KEY_BYTES = 16;

    private final Document document;
    private final NodeSettings settings;
    private final Map<NodeId, PeerSettings> peersById = new HashMap<>();
    private final List<Problem> problems = new ArrayList<>();

    NodeSettingsValidator(Document document, NodeSettings settings) {
        this.document = document;
        this.settings = settings;
    }

    List<Problem> validate() {
        checkListeners();
        checkPeers();
        checkOwnPeerEntry();
        checkVoters("configuration", settings.bootstrapVoters().configuration());
        checkVoters("work", settings.bootstrapVoters().work());
        checkDurations();
        checkPeerKey();
        return problems;
    }

    private void checkPeerKey() {
        String key = settings.secrets().peerKey().reveal();
        if (key.getBytes(StandardCharsets.UTF_8).length < MIN_PEER_KEY_BYTES) {
            report(
                    JsonPointers.of("secrets", "peerKey"),
                    "the peer key has fewer than " + MIN_PEER_KEY_BYTES + " bytes",
                    "write a random key of " + MIN_PEER_KEY_BYTES + " bytes or more");
        }
    }

    private void checkListeners() {
        Listeners listeners = settings.listeners();
        Map<NetworkAddress, String> names = new HashMap<>();
        checkAddressUnique(names, "callers", listeners.callers());
        checkAddressUnique(names, "endpoints", listeners.endpoints());
        checkAddressUnique(names, "operators", listeners.operators());
        checkAddressUnique(names, "peers", listeners.peers());
    }

    private void checkAddressUnique(
            Map<NetworkAddress, String> names, String name, NetworkAddress address) {
        String earlier = names.putIfAbsent(address, name);
        if (earlier != null) {
            report(
                    JsonPointers.of("listeners", name),
                    "the address " + address + " is already that of listener " + earlier,
                    "give each listener a port of its own");
        }
    }

    private void checkPeers() {
        Map<NetworkAddress, NodeId> owners = new HashMap<>();
        for (int i = 0; i < settings.peers().size(); i++) {
            PeerSettings peer = settings.peers().get(i);
            if (peersById.putIfAbsent(peer.id(), peer) != null) {
                report(
                        JsonPointers.of("peers", i, "id"),
                        "the node id \"" + peer.id() + "\" stands twice",
                        "give each node one entry and an id of its own");
                continue;
            }
            NodeId owner = owners.putIfAbsent(peer.address(), peer.id());
            if (owner != null) {
                report(
                        JsonPointers.of("peers", i, "address"),
                        "the address " + peer.address() + " is already that of " + owner,
                        "write the address of the peers listener of " + peer.id());
            }
        }
    }

    private void checkOwnPeerEntry() {
        PeerSettings own = peersById.get(settings.nodeId());
        if (own == null) {
            report(
                    JsonPointers.of("nodeId"),
                    "the node \"" + settings.nodeId() + "\" is not among the peers",
                    "add an entry with this id to peers");
            return;
        }
        int index = settings.peers().indexOf(own);
        if (!own.dataCentre().equals(settings.dataCentre())) {
            report(
                    JsonPointers.of("peers", index, "dataCentre"),
                    "the data centre differs from dataCentre \"" + settings.dataCentre() + "\"",
                    "write the same data centre at both places");
        }
        if (!own.address().equals(settings.listeners().peers())) {
            report(
                    JsonPointers.of("peers", index, "address"),
                    "the address differs from listeners/peers " + settings.listeners().peers(),
                    "write the same address at both places");
        }
        if (own.voter() && settings.dataFolder().isEmpty()) {
            report(
                    JsonPointers.of("peers", index, "voter"),
                    "this node is a voter and has no dataFolder",
                    "set dataFolder to a folder on its disk, or voter to false");
        }
    }

    private void checkVoters(String group, List<NodeId> voters) {
        if (voters.size() % 2 == 0) {
            report(
                    JsonPointers.of("bootstrapVoters", group),
                    "the group has " + voters.size() + " voters",
                    "name an odd number of voters, such as 3");
        }
        Set<NodeId> seen = new HashSet<>();
        for (int i = 0; i < voters.size(); i++) {
            checkVoter(JsonPointers.of("bootstrapVoters", group, i), voters.get(i), seen);
        }
    }

    private void checkVoter(String pointer, NodeId voter, Set<NodeId> seen) {
        PeerSettings peer = peersById.get(voter);
        if (!seen.add(voter)) {
            report(pointer, "the voter \"" + voter + "\" stands twice", "name each voter once");
        } else if (peer == null) {
            report(
                    pointer,
                    "the voter \"" + voter + "\" is not among the peers",
                    "add it to peers or name another node");
        } else if (!peer.voter()) {
            report(
                    pointer,
                    "the node \"" + voter + "\" is not marked as a voter",
                    "set voter: true at its entry in peers, if it has a disk");
        }
    }

    private void checkDurations() {
        if (settings.heartbeatMs() * 2 > settings.leaseMs()) {
            report(
                    JsonPointers.of("heartbeatMs"),
                    "the heartbeat of "
                            + settings.heartbeatMs()
                            + " ms is longer than half of leaseMs "
                            + settings.leaseMs(),
                    "lower heartbeatMs or raise leaseMs");
        }
        if (settings.drainDelayMs() > settings.shutdownTimeoutMs()) {
            report(
                    JsonPointers.of("drainDelayMs"),
                    "the delay of "
                            + settings.drainDelayMs()
                            + " ms is longer than shutdownTimeoutMs "
                            + settings.shutdownTimeoutMs(),
                    "lower drainDelayMs or raise shutdownTimeoutMs");
        }
    }

    private void report(String pointer, String detail, String remedy) {
        problems.add(document.problem(pointer, detail, remedy));
    }
}
