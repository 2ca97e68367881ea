package org.cardamomthread.command.client;

import java.util.List;
import java.util.function.LongConsumer;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Sends requests to the first node that handles them.
 *
 * <p>A request is retried on one node after another with the same operation id in its body, until
 * one responds with a status below 500; a node returns the original outcome for a repeated
 * operation id. Confined to one thread.
 */
public final class OperatorClient {

    /** Maximum number of attempts per node. */
    static final int ATTEMPTS_PER_NODE = 2;

    private static final long RETRY_DELAY_MS = 300;

    private final List<NetworkAddress> servers;
    private final OperatorTransport transport;
    private final LongConsumer sleeper;

    /**
     * Creates a client.
     *
     * @param servers the operator addresses of nodes, tried in this order; at least one
     * @param transport sends a single request without retries
     * @param sleeper sleeps for the given number of milliseconds
     */
    public OperatorClient(
            List<NetworkAddress> servers, OperatorTransport transport, LongConsumer sleeper) {
        if (servers.isEmpty()) {
            throw new IllegalArgumentException("servers must contain at least one address");
        }
        this.servers = List.copyOf(servers);
        this.transport = transport;
        this.sleeper = sleeper;
    }

    /**
     * Gets a resource.
     *
     * @param path the absolute path of the request
     * @return the successful response
     * @throws CommandException if no node handles the request or one rejects it
     */
    public OperatorResponse get(String path) throws CommandException {
        return requireSuccess(send("GET", path, "", ""));
    }

    /**
     * Posts a change.
     *
     * @param path the absolute path of the request
     * @param body the JSON body, which contains the operation id
     * @param operationId the operation id, for the error message if the outcome is unknown
     * @return the successful response
     * @throws CommandException if no node handles the request or one rejects it
     */
    public OperatorResponse post(String path, String body, String operationId)
            throws CommandException {
        return requireSuccess(send("POST", path, body, operationId));
    }

    private OperatorResponse send(String method, String path, String body, String operationId)
            throws CommandException {
        boolean mayHaveExecuted = false;
        String lastFailure = "";
        for (int attempt = 0; attempt < ATTEMPTS_PER_NODE * servers.size(); attempt++) {
            if (attempt > 0 && attempt % servers.size() == 0) {
                sleeper.accept(RETRY_DELAY_MS);
            }
            NetworkAddress server = servers.get(attempt % servers.size());
            try {
                OperatorResponse response = transport.send(server, method, path, body);
                if (!response.isRetryable()) {
                    return response;
                }
                mayHaveExecuted |= response.mayHaveExecuted();
                lastFailure = server + ": " + ErrorFormatter.format(response);
            } catch (TransportException e) {
                mayHaveExecuted |= e.mayHaveArrived();
                lastFailure = e.getMessage();
            }
        }
        throw retriesExhausted(mayHaveExecuted && !operationId.isEmpty(), lastFailure, operationId);
    }

    private CommandException retriesExhausted(
            boolean mayHaveExecuted, String lastFailure, String operationId) {
        if (mayHaveExecuted) {
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
                        + " handled the request ("
                        + lastFailure
                        + "); pass the operator address of a running node with --server");
    }

    private static OperatorResponse requireSuccess(OperatorResponse response)
            throws CommandException {
        if (response.isSuccess()) {
            return response;
        }
        ExitCode code =
                switch (response.status()) {
                    case 401 -> ExitCode.UNAUTHORIZED;
                    case 409 -> ExitCode.CONFLICT;
                    default -> ExitCode.REJECTED;
                };
        throw new CommandException(code, ErrorFormatter.format(response));
    }
}
