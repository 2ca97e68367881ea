package org.cardamomthread.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converts the status and explanations to JSON. Stateless and thread-safe. */
final class StatusJson {

    private StatusJson() {}

    static ObjectNode toTree(SystemStatus status) {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("node", status.node().value());
        ArrayNode unconfirmed = tree.putArray("notConfirmed");
        ArrayNode nodes = tree.putArray("nodes");
        for (NodeStatus node : status.nodes()) {
            nodes.add(toTree(node));
            if (!node.confirmed()) {
                unconfirmed.add(node.id().value());
            }
        }
        ArrayNode endpoints = tree.putArray("endpoints");
        status.endpoints().forEach(endpoint -> endpoints.add(toTree(endpoint)));
        ArrayNode voters = tree.putArray("voters");
        status.voters().forEach(voter -> voters.add(toTree(voter)));
        return tree;
    }

    static ObjectNode toTree(RequestExplanation explanation) {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("requestId", explanation.requestId().value());
        tree.put("service", explanation.service());
        tree.put("outcome", explanation.outcome());
        ArrayNode decisions = tree.putArray("decisions");
        for (RequestExplanation.Decision decision : explanation.decisions()) {
            ObjectNode decisionTree = decisions.addObject();
            decisionTree.put("at", decision.at().toString());
            decisionTree.put("action", decision.action());
            decisionTree.put("endpoint", decision.endpoint());
            decisionTree.put("reason", decision.reason());
        }
        return tree;
    }

    private static ObjectNode toTree(NodeStatus node) {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("id", node.id().value());
        tree.put("dataCentre", node.dataCentre().value());
        tree.put("reachable", node.reachable());
        tree.put("revision", node.revision());
        tree.put("confirmed", node.confirmed());
        return tree;
    }

    private static ObjectNode toTree(EndpointStatus endpoint) {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("id", endpoint.id().value());
        tree.put("dataCentre", endpoint.dataCentre().value());
        tree.put("home", endpoint.home().value());
        tree.put("state", endpoint.state());
        tree.put("priceClass", endpoint.priceClass());
        ArrayNode versions = tree.putArray("versions");
        endpoint.versions().forEach(versions::add);
        tree.put("inFlight", endpoint.inFlight());
        tree.put("bearable", endpoint.concurrencyLimit());
        return tree;
    }

    private static ObjectNode toTree(VoterStatus voter) {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("group", voter.group());
        tree.put("id", voter.id().value());
        tree.put("role", voter.role());
        tree.put("reachable", voter.reachable());
        tree.put("index", voter.index());
        return tree;
    }
}
