package org.cardamomthread.command.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Sends requests with AsyncHttpClient, with its automatic retries disabled.
 *
 * <p>Invariant: a connection carries one request, since nothing in a response tells to which
 * request it belongs. Confined to one thread.
 */
public final class AsyncHttpTransport implements OperatorTransport {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String token;
    private final AsyncHttpClient client;

    /**
     * Creates a transport.
     *
     * @param token the operator's bearer token
     */
    public AsyncHttpTransport(String token) {
        this.token = token;
        this.client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setMaxRequestRetry(0)
                                .setKeepAlive(false)
                                .setConnectTimeout(CONNECT_TIMEOUT)
                                .setRequestTimeout(REQUEST_TIMEOUT)
                                .setIoThreadsCount(1));
    }

    @Override
    public OperatorResponse send(NetworkAddress server, String method, String path, String body)
            throws TransportException {
        RequestBuilder request =
                new RequestBuilder(method)
                        .setUrl("http://" + server + path)
                        .setHeader("Authorization", "Bearer " + token);
        if (!body.isEmpty()) {
            request.setHeader("Content-Type", "application/json").setBody(body);
        }
        return execute(server, request.build());
    }

    private OperatorResponse execute(NetworkAddress server, Request request)
            throws TransportException {
        try {
            Response response = client.executeRequest(request).get();
            if (response.getStatusCode() < MIN_STATUS || response.getStatusCode() > MAX_STATUS) {
                throw new TransportException(
                        server + " returned an invalid status: " + response.getStatusCode(), true);
            }
            return new OperatorResponse(
                    response.getStatusCode(), MAPPER.readTree(response.getResponseBody()));
        } catch (JsonProcessingException e) {
            throw new TransportException(server + " returned a response that is not JSON", true);
        } catch (ExecutionException e) {
            boolean connectionRefused = e.getCause() instanceof ConnectException;
            throw new TransportException(
                    server + ": " + e.getCause().getMessage(), !connectionRefused);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TransportException(server + ": interrupted", true);
        }
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
