package org.cardamomthread.configuration.settings;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.JsonPointers;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.NodeId;

/** Validates constraints between settings that the schema cannot express. Not thread-safe. */
final class NodeSettingsValidator {

    private static final int MIN_PEER_KEY_BYTES = 16;

    private final Document document;
    private final NodeSettings settings;
    private final Map<NodeId, PeerSettings> peersById = new HashMap<>();
    private final List<DocumentProblem> problems = new ArrayList<>();

    NodeSettingsValidator(Document document, NodeSettings settings) {
        this.document = document;
        this.settings = settings;
    }

    List<DocumentProblem> validate() {
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
                    "the peer key is shorter than " + MIN_PEER_KEY_BYTES + " bytes",
                    "use a random key of " + MIN_PEER_KEY_BYTES + " bytes or more");
        }
    }

    private void checkListeners() {
        Listeners listeners = settings.listeners();
        Map<NetworkAddress, String> listenersByAddress = new HashMap<>();
        checkAddressUnique(listenersByAddress, "callers", listeners.callers());
        checkAddressUnique(listenersByAddress, "endpoints", listeners.endpoints());
        checkAddressUnique(listenersByAddress, "operators", listeners.operators());
        checkAddressUnique(listenersByAddress, "peers", listeners.peers());
    }

    private void checkAddressUnique(
            Map<NetworkAddress, String> listenersByAddress, String name, NetworkAddress address) {
        String otherListener = listenersByAddress.putIfAbsent(address, name);
        if (otherListener != null) {
            report(
                    JsonPointers.of("listeners", name),
                    "the address " + address + " is already used by listener " + otherListener,
                    "give each listener a port of its own");
        }
    }

    private void checkPeers() {
        Map<NetworkAddress, NodeId> nodeIdsByAddress = new HashMap<>();
        for (int i = 0; i < settings.peers().size(); i++) {
            PeerSettings peer = settings.peers().get(i);
            if (peersById.putIfAbsent(peer.id(), peer) != null) {
                report(
                        JsonPointers.of("peers", i, "id"),
                        "the node id \"" + peer.id() + "\" is used more than once",
                        "give each node one entry with an id of its own");
                continue;
            }
            NodeId otherNode = nodeIdsByAddress.putIfAbsent(peer.address(), peer.id());
            if (otherNode != null) {
                report(
                        JsonPointers.of("peers", i, "address"),
                        "the address " + peer.address() + " is already used by node " + otherNode,
                        "use the address of the peers listener of " + peer.id());
            }
        }
    }

    private void checkOwnPeerEntry() {
        PeerSettings ownEntry = peersById.get(settings.nodeId());
        if (ownEntry == null) {
            report(
                    JsonPointers.of("nodeId"),
                    "the node \"" + settings.nodeId() + "\" is not listed in peers",
                    "add an entry with this id to peers");
            return;
        }
        int index = settings.peers().indexOf(ownEntry);
        if (!ownEntry.dataCentre().equals(settings.dataCentre())) {
            report(
                    JsonPointers.of("peers", index, "dataCentre"),
                    "the data centre differs from dataCentre \"" + settings.dataCentre() + "\"",
                    "write the same data centre in both places");
        }
        if (!ownEntry.address().equals(settings.listeners().peers())) {
            report(
                    JsonPointers.of("peers", index, "address"),
                    "the address differs from listeners/peers " + settings.listeners().peers(),
                    "write the same address in both places");
        }
        if (ownEntry.voter() && settings.dataFolder().isEmpty()) {
            report(
                    JsonPointers.of("peers", index, "voter"),
                    "this node is a voter but has no dataFolder",
                    "set dataFolder to a directory on its disk, or voter to false");
        }
    }

    private void checkVoters(String group, List<NodeId> voters) {
        if (voters.size() % 2 == 0) {
            report(
                    JsonPointers.of("bootstrapVoters", group),
                    "the group has " + voters.size() + " voters",
                    "list an odd number of voters, such as 3");
        }
        Set<NodeId> seen = new HashSet<>();
        for (int i = 0; i < voters.size(); i++) {
            checkVoter(JsonPointers.of("bootstrapVoters", group, i), voters.get(i), seen);
        }
    }

    private void checkVoter(String pointer, NodeId voter, Set<NodeId> seen) {
        PeerSettings peer = peersById.get(voter);
        if (!seen.add(voter)) {
            report(
                    pointer,
                    "the voter \"" + voter + "\" is listed more than once",
                    "list each voter once");
        } else if (peer == null) {
            report(
                    pointer,
                    "the voter \"" + voter + "\" is not listed in peers",
                    "add it to peers or list another node");
        } else if (!peer.voter()) {
            report(
                    pointer,
                    "the node \"" + voter + "\" is not marked as a voter",
                    "set voter: true in its entry in peers, if it has a disk");
        }
    }

    private void checkDurations() {
        if (settings.heartbeatMs() * 2 > settings.leaseMs()) {
            report(
                    JsonPointers.of("heartbeatMs"),
                    "the heartbeat interval of "
                            + settings.heartbeatMs()
                            + " ms is longer than half of leaseMs "
                            + settings.leaseMs(),
                    "lower heartbeatMs or raise leaseMs");
        }
        if (settings.drainDelayMs() > settings.shutdownTimeoutMs()) {
            report(
                    JsonPointers.of("drainDelayMs"),
                    "the drain delay of "
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
