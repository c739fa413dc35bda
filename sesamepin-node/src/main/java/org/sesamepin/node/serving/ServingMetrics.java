package org.sesamepin.node.serving;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.sesamepin.node.http.CallerMemory;
import org.sesamepin.node.limit.Admission;

/** Counters and histograms of a node that serves routes. */
public final class ServingMetrics {
    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            counter("sesamepin_route_requests", "Requests by final answer.", "route", "outcome");
    private final Counter mAttempts =
            counter("sesamepin_target_attempts", "Sends to targets.", "service", "outcome");
    private final Counter mTakeUps =
            counter(
                    "sesamepin_stream_take_ups",
                    "Streams that callers took up, by how their version was known and by end.",
                    "source",
                    "outcome");
    private final Counter mPreemptions =
            counter("sesamepin_items_preempted", "Batch items that gave way.");
    private final Counter mAdmissions =
            counter(
                    "sesamepin_rate_admissions",
                    "Requests admitted under a rate limit, by where the token came from.",
                    "source");
    private final Counter mRateRefusals =
            counter("sesamepin_rate_refusals", "Requests refused under a rate limit.", "reason");
    private final Counter mStoreCalls =
            counter("sesamepin_store_calls", "Calls to the store.", "purpose", "kind", "outcome");
    private final Counter mItems = counter("sesamepin_items", "Batch items by end.", "outcome");
    private final Histogram mTimeToFirstByte =
            Histogram.builder()
                    .name("sesamepin_first_piece_seconds")
                    .help("Time from request to the first byte of the answer.")
                    .labelNames("route")
                    .classicOnly()
                    .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
                    .register(mRegistry);

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /** Registers a counter that another component maintains and that is read at each scrape. */
    public void counter(String name, String help, LongSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsLong()))
                .register(mRegistry);
    }

    /** Registers the metrics of the memory that requests of callers take. */
    public void registerCallerMemory(CallerMemory memory) {
        gauge(
                "sesamepin_request_bytes",
                "Memory of requests that are read or run.",
                memory::usedBytes);
        gauge("sesamepin_caller_connections", "Open connections of callers.", memory::connections);
        counter(
                "sesamepin_callers_evicted",
                "Connections of callers given up for memory or descriptors.",
                memory::evictions);
        counter(
                "sesamepin_accept_stops",
                "Times that the listener for callers stopped to accept connections.",
                memory::acceptStops);
        counter(
                "sesamepin_read_turns",
                "Turns to be read of connections with costly requests.",
                memory::readTurns);
        counter(
                "sesamepin_unread_closed",
                "Connections of callers closed since their responses were not read.",
                memory::unreadClosed);
    }

    /** Counts a finished request. */
    public void countRequest(String route, String outcome) {
        mRequests.labelValues(route, outcome).inc();
    }

    /** Counts the end of a request that took a stream up. */
    public void countTakeUp(String source, String outcome) {
        mTakeUps.labelValues(source, outcome).inc();
    }

    /** Counts a failed attempt at a target. */
    public void countFailedAttempt(String service, String outcome) {
        mAttempts.labelValues(service, outcome).inc();
    }

    /** Counts a decision on a request of a customer whose rate is limited. */
    public void countAdmission(Admission admission) {
        Counter counter = admission.admitted() ? mAdmissions : mRateRefusals;
        counter.labelValues(admission.reason()).inc();
    }

    /** Counts a call to the store. */
    public void countStoreCall(String purpose, String kind, String outcome) {
        mStoreCalls.labelValues(purpose, kind, outcome).inc();
    }

    /** Counts a batch item that was suspended for an online request. */
    public void countPreemption() {
        mPreemptions.inc();
    }

    /** Counts the end of a batch item's run. */
    public void countItem(String outcome) {
        mItems.labelValues(outcome).inc();
    }

    /** Records the time from a request to the first byte of its response, nanoseconds. */
    public void observeTimeToFirstByte(String route, long nanos) {
        mTimeToFirstByte.labelValues(route).observe((double) nanos / TimeUnit.SECONDS.toNanos(1));
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new PrometheusTextFormatWriter(true).write(out, mRegistry.scrape());
        return out.toByteArray();
    }
}
