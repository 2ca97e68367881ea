package org.cardamomthread.command.client;

import java.util.List;
import java.util.function.LongConsumer;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Sends requests to the first node that answers.
 *
 * <p>A request is sent again, with the same operation id in its body, to one node after another
 * until one answers; the nodes answer a resend as they answered the first. Confined to one thread.
 */
public final class OperatorClient {

    /** The number of times that each node is tried. */
    static final int ROUNDS = 2;

    private static final long PAUSE_MS = 300;

    private final List<NetworkAddress> servers;
    private final OperatorTransport transport;
    private final LongConsumer pause;

    /**
     * Creates a client.
     *
     * @param servers the operators' addresses of nodes, tried in this order, at least one
     * @param transport sends single requests
     * @param pause waits so many milliseconds
     */
    public OperatorClient(
            List<NetworkAddress> servers, OperatorTransport transport, LongConsumer pause) {
        if (servers.isEmpty()) {
            throw new IllegalArgumentException("servers must hold at least one address");
        }
        this.servers = List.copyOf(servers);
        this.transport = transport;
        this.pause = pause;
    }

    /**
     * Reads a resource.
     *
     * @param path the path
     * @return the answer, a success
     * @throws CommandException if no node answers, or one refuses
     */
    public OperatorAnswer read(String path) throws CommandException {
        return requireSuccess(send("GET", path, "", ""));
    }

    /**
     * Makes a change.
     *
     * @param path the path
     * @param body the JSON body, which holds the operation id
     * @param operationId the operation id, for the message if the outcome stays unknown
     * @return the answer, a success
     * @throws CommandException if no node answers, or one refuses
     */
    public OperatorAnswer change(String path, String body, String operationId)
            throws CommandException {
        return requireSuccess(send("POST", path, body, operationId));
    }

    private OperatorAnswer send(String method, String path, String body, String operationId)
            throws CommandException {
        boolean uncertain = false;
        String lastFailure = "";
        for (int attempt = 0; attempt < ROUNDS * servers.size(); attempt++) {
            if (attempt > 0 && attempt % servers.size() == 0) {
                pause.accept(PAUSE_MS);
            }
            NetworkAddress server = servers.get(attempt % servers.size());
            try {
                OperatorAnswer answer = transport.send(server, method, path, body);
                if (!answer.isRetryable()) {
                    return answer;
                }
                uncertain |= answer.mayHaveRun();
                lastFailure = server + ": " + Refusals.describe(answer);
            } catch (TransportException e) {
                uncertain |= e.mayHaveArrived();
                lastFailure = e.getMessage();
            }
        }
        throw noAnswer(uncertain && !operationId.isEmpty(), lastFailure, operationId);
    }

    private CommandException noAnswer(boolean uncertain, String lastFailure, String operationId) {
        if (uncertain) {
            return new CommandException(
                    ExitCode.OUTCOME_UNKNOWN,
                    "the outcome of the change is unknown ("
                            + lastFailure
                            + "); run the command again with --operation-id "
                            + operationId);
        }
        return new CommandException(
                ExitCode.UNREACHABLE,
                "none of "
                        + servers
                        + " answers ("
                        + lastFailure
                        + "); name the operators' address of a node that runs with --server");
    }

    private static OperatorAnswer requireSuccess(OperatorAnswer answer) throws CommandException {
        if (answer.isSuccess()) {
            return answer;
        }
        ExitCode code =
                switch (answer.status()) {
                    case 401 -> ExitCode.UNAUTHORIZED;
                    case 409 -> ExitCode.CONFLICT;
                    default -> ExitCode.REJECTED;
                };
        throw new CommandException(code, Refusals.describe(answer));
    }
}
