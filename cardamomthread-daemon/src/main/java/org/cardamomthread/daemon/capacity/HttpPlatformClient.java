package org.cardamomthread.daemon.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.http.StatusLineValidator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads reclaim notices and prices from the platform's API over HTTP.
 *
 * <p>Invariant: a connection carries one call, since nothing in a response tells to which call it
 * belongs. Thread-safe.
 */
public final class HttpPlatformClient implements PlatformClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(HttpPlatformClient.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int HTTP_OK = 200;

    private final AsyncHttpClient client;
    private final String baseUrl;

    /**
     * Creates a client.
     *
     * @param address the API's address as {@code host:port}
     */
    public HttpPlatformClient(String address) {
        baseUrl = "http://" + address;
        client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setIoThreadsCount(1)
                                .setKeepAlive(false)
                                .setHttpAdditionalChannelInitializer(StatusLineValidator::addTo)
                                .setConnectTimeout(REQUEST_TIMEOUT)
                                .setRequestTimeout(REQUEST_TIMEOUT)
                                .setMaxRequestRetry(0));
    }

    @Override
    public CompletableFuture<NoticePage> listNotices(long afterSequence) {
        return fetchJson("/v1/notices?after=" + afterSequence)
                .thenApply(document -> readNotices(document, afterSequence));
    }

    @Override
    public CompletableFuture<List<HostPrice>> listPrices() {
        return fetchJson("/v1/prices").thenApply(HttpPlatformClient::readPrices);
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException failure) {
            LOGGER.warn("cannot close the HTTP client of the platform's API", failure);
        }
    }

    private CompletableFuture<JsonNode> fetchJson(String path) {
        return client.prepareGet(baseUrl + path)
                .execute()
                .toCompletableFuture()
                .thenApply(
                        response -> {
                            if (response.getStatusCode() != HTTP_OK) {
                                throw new IllegalStateException(
                                        "the platform must respond to GET "
                                                + path
                                                + " with 200, not "
                                                + response.getStatusCode());
                            }
                            return parse(response.getResponseBodyAsBytes());
                        });
    }

    private static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException failure) {
            throw new UncheckedIOException("the platform must respond with JSON", failure);
        }
    }

    private static NoticePage readNotices(JsonNode document, long afterSequence) {
        List<ReclaimNotice> notices = new ArrayList<>();
        long lastSequence = afterSequence;
        for (JsonNode notice : document) {
            lastSequence = Math.max(lastSequence, notice.path("sequence").asLong());
            notices.add(
                    new ReclaimNotice(
                            new EndpointId(notice.path("endpointId").asText()),
                            new DataCentreId(notice.path("dataCentre").asText()),
                            notice.path("reclaimAtMs").asLong()));
        }
        return new NoticePage(notices, lastSequence);
    }

    private static List<HostPrice> readPrices(JsonNode document) {
        List<HostPrice> prices = new ArrayList<>();
        for (JsonNode price : document) {
            prices.add(
                    new HostPrice(
                            new DataCentreId(price.path("dataCentre").asText()),
                            new EndpointClassId(price.path("endpointClass").asText()),
                            price.path("priceClass").asText(),
                            price.path("pricePerHour").asDouble()));
        }
        return prices;
    }
}
