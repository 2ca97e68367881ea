package org.cardamomthread.daemon.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;
import org.cardamomthread.core.id.ServiceId;

/**
 * Holds the metrics of one node.
 *
 * <p>Label values come only from declarations and fixed sets, never from callers' input, so that
 * the number of time series is bounded. Thread-safe.
 */
public final class NodeMetrics {

    private static final String SERVICE_LABEL = "service";
    private static final double MS_PER_S = 1_000.0;
    private static final double[] LATENCY_BUCKETS_S = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.8, 3, 5, 10, 30, 60
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Histogram duration;
    private final Histogram firstByte;
    private final Counter attempts;
    private final Counter endpointStatements;
    private final Counter sends;
    private final Counter recomputedTokens;
    private final Counter tokens;
    private final Counter peerBytes;
    private final Counter refusals;
    private final Counter clientLimits =
            createCounter(
                    "cardamomthread_client_limits_total",
                    "Requests refused and connections closed because of a limit on clients",
                    "listener",
                    "reason");
    private final Gauge inProgress;
    private final Gauge waiting =
            createGauge(
                    "cardamomthread_requests_waiting",
                    "Requests that wait for an endpoint with room");
    private final Histogram wait =
            createHistogram(
                    "cardamomthread_request_wait_seconds",
                    "Time for which requests that were sent had waited for an endpoint");

    /** Creates and registers the metrics, all zero. */
    public NodeMetrics() {
        requests =
                createCounter(
                        "cardamomthread_requests_total",
                        "Requests answered, by service and outcome",
                        SERVICE_LABEL,
                        "outcome");
        duration =
                createHistogram(
                        "cardamomthread_request_duration_seconds",
                        "Time from a whole request to the end of its answer");
        firstByte =
                createHistogram(
                        "cardamomthread_first_byte_seconds",
                        "Time from a whole request to the first byte of the answer's body");
        attempts =
                createCounter(
                        "cardamomthread_attempts_total",
                        "Attempts on endpoints, by service and result",
                        SERVICE_LABEL,
                        "result");
        endpointStatements =
                createCounter(
                        "cardamomthread_endpoint_statements_total",
                        "Responses in which endpoints state that they want no requests, by service"
                                + " and statement",
                        SERVICE_LABEL,
                        "statement");
        sends =
                createCounter(
                        "cardamomthread_sends_total",
                        "Requests sent to endpoints, by service and data centre (own or other)",
                        SERVICE_LABEL,
                        "place");
        recomputedTokens =
                createCounter(
                        "cardamomthread_recomputed_tokens_total",
                        "Delivered tokens that another endpoint had to process again",
                        SERVICE_LABEL);
        tokens =
                createCounter(
                        "cardamomthread_tokens_total", "Tokens sent to callers", SERVICE_LABEL);
        peerBytes =
                createCounter(
                        "cardamomthread_peer_bytes_total",
                        "Bytes exchanged with other nodes",
                        "direction");
        refusals =
                createCounter(
                        "cardamomthread_refusals_total",
                        "Requests refused before they were admitted, by reason",
                        "reason");
        inProgress =
                createGauge(
                        "cardamomthread_requests_in_progress",
                        "Requests accepted and not yet answered whole");
    }

    /**
     * Counts a request that has started.
     *
     * @param service the requested service
     */
    public void beginRequest(ServiceId service) {
        inProgress.labelValues(service.value()).inc();
    }

    /**
     * Counts a request that has ended.
     *
     * @param service the requested service
     * @param outcome the outcome, from a fixed set, such as {@code answered} or {@code refused}
     * @param elapsedMs time since the request was received completely, in milliseconds
     */
    public void endRequest(ServiceId service, String outcome, long elapsedMs) {
        inProgress.labelValues(service.value()).dec();
        requests.labelValues(service.value(), outcome).inc();
        duration.labelValues(service.value()).observe(elapsedMs / MS_PER_S);
    }

    /**
     * Records the time to the first byte of a response body.
     *
     * @param service the requested service
     * @param elapsedMs time since the request was received completely, in milliseconds
     */
    public void recordFirstByte(ServiceId service, long elapsedMs) {
        firstByte.labelValues(service.value()).observe(elapsedMs / MS_PER_S);
    }

    /**
     * Counts an attempt on an endpoint.
     *
     * @param service the requested service
     * @param result the result, from a fixed set: {@code complete}, {@code abandoned} or the kind
     *     of failure
     */
    public void countAttempt(ServiceId service, String result) {
        attempts.labelValues(service.value(), result).inc();
    }

    /**
     * Counts a response in which an endpoint states that it wants no requests.
     *
     * @param service the requested service
     * @param statement the statement, from a fixed set
     */
    public void countEndpointStatement(ServiceId service, String statement) {
        endpointStatements.labelValues(service.value(), statement).inc();
    }

    /**
     * Counts a request that is sent to an endpoint.
     *
     * @param service the requested service
     * @param isLocal whether the endpoint is in this node's data centre
     */
    public void countSend(ServiceId service, boolean isLocal) {
        sends.labelValues(service.value(), isLocal ? "own" : "other").inc();
    }

    /**
     * Counts a request that was refused before it was admitted.
     *
     * @param reason the reason, from a fixed set
     */
    public void countRefusal(String reason) {
        refusals.labelValues(reason).inc();
    }

    /**
     * Sets the number of requests that wait for an endpoint.
     *
     * @param service the requested service
     * @param count the number of requests
     */
    public void setWaiting(ServiceId service, int count) {
        waiting.labelValues(service.value()).set(count);
    }

    /**
     * Records how long a request that is sent now has waited for an endpoint.
     *
     * @param service the requested service
     * @param waitedMs the time, in milliseconds
     */
    public void recordWait(ServiceId service, long waitedMs) {
        wait.labelValues(service.value()).observe(waitedMs / MS_PER_S);
    }

    /**
     * Counts a request refused, or a connection closed, because of a limit on clients.
     *
     * @param listener the name of the listener, from a fixed set
     * @param reason the limit, from a fixed set
     */
    public void countClientLimit(String listener, String reason) {
        clientLimits.labelValues(listener, reason).inc();
    }

    /**
     * Counts tokens sent to a caller.
     *
     * @param service the requested service
     * @param count the number of tokens
     */
    public void countTokens(ServiceId service, int count) {
        tokens.labelValues(service.value()).inc(count);
    }

    /**
     * Counts tokens that another endpoint has to process again after a failure.
     *
     * @param service the requested service
     * @param count the number of tokens
     */
    public void countRecomputedTokens(ServiceId service, int count) {
        recomputedTokens.labelValues(service.value()).inc(count);
    }

    /**
     * Counts bytes exchanged with other nodes.
     *
     * @param direction {@code in} or {@code out}
     * @param bytes the number of bytes
     */
    public void countPeerBytes(String direction, long bytes) {
        peerBytes.labelValues(direction).inc(bytes);
    }

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name the name of the metric
     * @param help the description of the metric
     * @param value supplies the value; must not block
     */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Renders all metrics in the Prometheus text format.
     *
     * @return the metrics as UTF-8 text
     */
    public byte[] render() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException("failed to render the metrics into memory", failure);
        }
        return output.toByteArray();
    }

    private Counter createCounter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Gauge createGauge(String name, String help) {
        return Gauge.builder().name(name).help(help).labelNames(SERVICE_LABEL).register(registry);
    }

    private Histogram createHistogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_BUCKETS_S)
                .labelNames(SERVICE_LABEL)
                .register(registry);
    }
}
