package org.sesamepin.node.admin;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.sesamepin.core.batch.ItemOutcome;
import org.sesamepin.node.http.CallerMemory;
import org.sesamepin.node.http.ProblemType;

/** Metrics of one node: counters, gauges and a histogram, in a registry of their own. */
public final class NodeMetrics {
    private static final double[] BUCKETS_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.73, 1, 2, 5, 10, 30
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mAdmitted =
            counter("sesamepin_requests_admitted", "Requests admitted.", "customer", "class");
    private final Counter mRejected =
            counter("sesamepin_requests_refused", "Requests refused.", "customer", "reason");
    private final Counter mCompleted =
            counter(
                    "sesamepin_requests_completed",
                    "Requests answered whole.",
                    "customer",
                    "class");
    private final Counter mRetries =
            counter("sesamepin_retries", "Retried calls.", "target", "step");
    private final Counter mItemAttempts =
            counter("sesamepin_batch_attempts", "Attempts at batch items.", "customer", "outcome");
    private final Counter mPreemptions =
            counter("sesamepin_preemptions", "Batch items that gave way.", "target");
    private final Histogram mFirstByte =
            Histogram.builder()
                    .name("sesamepin_first_byte_seconds")
                    .help("Time from request to the first byte of the answer.")
                    .labelNames("class")
                    .classicOnly()
                    .classicUpperBounds(BUCKETS_SECONDS)
                    .register(mRegistry);

    /** Creates all metrics, including those of the JVM. */
    public NodeMetrics() {
        JvmMetrics.builder().register(mRegistry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    /** Registers a gauge whose value is read each time the metrics are scraped. */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /** Registers the metrics of the memory that requests of callers take. */
    public void registerCallerMemory(CallerMemory memory) {
        registerGauge(
                "sesamepin_request_bytes",
                "Memory of requests that are read or run.",
                memory::usedBytes);
        registerGauge(
                "sesamepin_caller_connections",
                "Open connections of callers.",
                memory::connections);
        registerCounter(
                "sesamepin_callers_evicted",
                "Connections of callers given up for memory or descriptors.",
                memory::evictions);
        registerCounter(
                "sesamepin_accept_stops",
                "Times that the listener for callers stopped to accept connections.",
                memory::acceptStops);
        registerCounter(
                "sesamepin_read_turns",
                "Turns to be read of connections with costly requests.",
                memory::readTurns);
        registerCounter(
                "sesamepin_unread_closed",
                "Connections of callers closed since their responses were not read.",
                memory::unreadClosed);
    }

    private void registerCounter(String name, String help, LongSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsLong()))
                .register(mRegistry);
    }

    /** Counts an admitted request of class {@code online} or {@code batch}. */
    public void countAdmitted(String customer, String requestClass) {
        mAdmitted.labelValues(customer, requestClass).inc();
    }

    /** Counts a rejected request of a customer. */
    public void countRejected(String customer, ProblemType reason) {
        mRejected.labelValues(customer, reason.label()).inc();
    }

    /** Counts a request whose response was sent completely. */
    public void countCompleted(String customer, String requestClass) {
        mCompleted.labelValues(customer, requestClass).inc();
    }

    /** Counts a retry after a call to {@code target} failed at {@code step}. */
    public void countRetry(String target, String step) {
        mRetries.labelValues(target, step).inc();
    }

    /** Counts an attempt to run a batch item, by its outcome. */
    public void countItemAttempt(String customer, ItemOutcome outcome) {
        mItemAttempts
                .labelValues(customer, outcome.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
    }

    /** Counts a batch item that was preempted on {@code target}. */
    public void countPreemption(String target) {
        mPreemptions.labelValues(target).inc();
    }

    /** Records the time from a request to the first byte of its response, nanoseconds. */
    public void recordFirstByte(String requestClass, long nanos) {
        DistributionDataPoint point = mFirstByte.labelValues(requestClass);
        point.observe((double) nanos / TimeUnit.SECONDS.toNanos(1));
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] toPrometheusText() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new PrometheusTextFormatWriter(true).write(out, mRegistry.scrape());
        return out.toByteArray();
    }
}
