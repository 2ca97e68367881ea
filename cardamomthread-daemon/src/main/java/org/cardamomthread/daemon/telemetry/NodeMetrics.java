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
 * <p>Label values come from declarations and fixed sets only, never from what a caller sends, so
 * that the number of series is bounded. Safe for use by several threads.
 */
public final class NodeMetrics {

    private static final String SERVICE = "service";
    private static final double MS_PER_S = 1_000.0;
    private static final double[] LATENCY_BOUNDS_S = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.8, 3, 5, 10, 30, 60
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Histogram duration;
    private final Histogram firstByte;
    private final Counter attempts;
    private final Counter recomputedTokens;
    private final Counter tokens;
    private final Counter peerBytes;
    private final Counter refusals;
    private final Gauge inProgress;

    /** Creates the metrics, all zero. */
    public NodeMetrics() {
        requests =
                createCounter(
                        "cardamomthread_requests_total",
                        "Requests answered, by service and outcome",
                        SERVICE,
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
                        SERVICE,
                        "result");
        recomputedTokens =
                createCounter(
                        "cardamomthread_recomputed_tokens_total",
                        "Delivered tokens that another endpoint had to process again",
                        SERVICE);
        tokens = createCounter("cardamomthread_tokens_total", "Tokens sent to callers", SERVICE);
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
                Gauge.builder()
                        .name("cardamomthread_requests_in_progress")
                        .help("Requests accepted and not yet answered whole")
                        .labelNames(SERVICE)
                        .register(registry);
    }

    /**
     * Counts a request that has begun.
     *
     * @param service the service
     */
    public void beginRequest(ServiceId service) {
        inProgress.labelValues(service.value()).inc();
    }

    /**
     * Counts a request that has ended.
     *
     * @param service the service
     * @param outcome a fixed name such as {@code answered} or {@code refused}
     * @param elapsedMs time since the request had arrived whole, in milliseconds
     */
    public void endRequest(ServiceId service, String outcome, long elapsedMs) {
        inProgress.labelValues(service.value()).dec();
        requests.labelValues(service.value(), outcome).inc();
        duration.labelValues(service.value()).observe(elapsedMs / MS_PER_S);
    }

    /**
     * Records the first byte of an answer's body.
     *
     * @param service the service
     * @param elapsedMs time since the request had arrived whole, in milliseconds
     */
    public void recordFirstByte(ServiceId service, long elapsedMs) {
        firstByte.labelValues(service.value()).observe(elapsedMs / MS_PER_S);
    }

    /**
     * Counts an attempt on an endpoint.
     *
     * @param service the service
     * @param result a fixed name such as {@code complete} or the kind of failure
     */
    public void countAttempt(ServiceId service, String result) {
        attempts.labelValues(service.value(), result).inc();
    }

    /**
     * Counts a request that was refused before it was admitted.
     *
     * @param reason a fixed name of the reason
     */
    public void countRefusal(String reason) {
        refusals.labelValues(reason).inc();
    }

    /**
     * Counts tokens sent to a caller.
     *
     * @param service the service
     * @param count tokens
     */
    public void countTokens(ServiceId service, int count) {
        tokens.labelValues(service.value()).inc(count);
    }

    /**
     * Counts delivered tokens that another endpoint has to process again.
     *
     * @param service the service
     * @param count tokens
     */
    public void countRecomputedTokens(ServiceId service, int count) {
        recomputedTokens.labelValues(service.value()).inc(count);
    }

    /**
     * Counts bytes exchanged with other nodes.
     *
     * @param direction {@code in} or {@code out}
     * @param bytes number of bytes
     */
    public void countPeerBytes(String direction, long bytes) {
        peerBytes.labelValues(direction).inc(bytes);
    }

    /**
     * Adds a value that is read when the metrics are scraped.
     *
     * @param name the metric's name
     * @param help what it shows
     * @param value reads the value, must not block
     */
    public void addGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Renders all metrics in the Prometheus text format.
     *
     * @return the text in UTF-8
     */
    public byte[] render() {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(buffer, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException("writing to memory must not fail", failure);
        }
        return buffer.toByteArray();
    }

    private Counter createCounter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Histogram createHistogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_S)
                .labelNames(SERVICE)
                .register(registry);
    }
}
