package org.sesamepin.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.node.http.EventStreamParser;
import org.sesamepin.node.http.StreamEvent;

/**
 * Sends streaming requests on a schedule that does not wait for responses (an open-loop load
 * generator). Latencies are measured from the time at which a request was due, so that a slow fleet
 * cannot hide its delays by slowing down the load.
 */
final class LoadRun {
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final long DRAIN_TIMEOUT_MS = 30_000;
    private static final int CONNECTION_POOL_SIZE = 2_048;
    private static final double MICROS_PER_MS = 1_000.0;

    private final Vertx mVertx;
    private final HttpClientAgent mClient;
    private final List<InetSocketAddress> mCallerAddresses;
    private final String mKey;
    private final String mModel;
    private final int mTokens;
    private final Random mRandom;
    private final Histogram mFirstTokenMicros = new ConcurrentHistogram(3);
    private final Histogram mResponseMicros = new ConcurrentHistogram(3);
    private final Histogram mTokenGapMicros = new ConcurrentHistogram(3);
    private final AtomicLong mSentCount = new AtomicLong();
    private final AtomicLong mCompleteCount = new AtomicLong();
    private final AtomicLong mRateLimitedCount = new AtomicLong();
    private final AtomicLong mFailedCount = new AtomicLong();

    LoadRun(Vertx vertx, List<String> callers, String key, String model, int tokens, long seed) {
        mVertx = vertx;
        mClient = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTION_POOL_SIZE));
        mCallerAddresses = callers.stream().map(PropertyDescriptor::parseAddress).toList();
        mKey = key;
        mModel = model;
        mTokens = tokens;
        mRandom = new Random(seed);
    }

    /**
     * Sends requests for {@code warmupSeconds + measuredSeconds}, waits for outstanding responses
     * and returns the report. Requests that are due during the warm-up are not measured.
     *
     * @param rate mean arrival rate of the Poisson process, requests per second
     */
    JsonObject run(double rate, int warmupSeconds, int measuredSeconds)
            throws InterruptedException {
        long startNanos = System.nanoTime();
        long measureFromNanos = startNanos + TimeUnit.SECONDS.toNanos(warmupSeconds);
        long endNanos = measureFromNanos + TimeUnit.SECONDS.toNanos(measuredSeconds);
        long dueAtNanos = startNanos;
        int requestNumber = 0;
        while (dueAtNanos < endNanos) {
            long waitNanos = dueAtNanos - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            }
            send(requestNumber++, dueAtNanos, dueAtNanos >= measureFromNanos);
            dueAtNanos += (long) (-Math.log(1 - mRandom.nextDouble()) / rate * 1e9);
        }
        long drainDeadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MS);
        while (outstandingCount() > 0 && System.nanoTime() < drainDeadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return report();
    }

    private long outstandingCount() {
        return mSentCount.get()
                - mCompleteCount.get()
                - mRateLimitedCount.get()
                - mFailedCount.get();
    }

    private void send(int requestNumber, long dueAtNanos, boolean measured) {
        InetSocketAddress address = mCallerAddresses.get(requestNumber % mCallerAddresses.size());
        JsonObject requestJson =
                new JsonObject()
                        .put("model", mModel)
                        .put("prompt", "request " + requestNumber)
                        .put("max_tokens", mTokens)
                        .put("stream", true);
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(address.getHostString())
                        .setPort(address.getPort())
                        .setURI("/v1/completions")
                        .putHeader("Authorization", "Bearer " + mKey);
        if (measured) {
            mSentCount.incrementAndGet();
        }
        ResponseRecorder recorder = new ResponseRecorder(dueAtNanos, measured);
        mVertx.runOnContext(
                v ->
                        mClient.request(options)
                                .compose(r -> r.send(requestJson.toBuffer()))
                                .onSuccess(recorder::onResponse)
                                .onFailure(e -> recorder.onEnd(0)));
    }

    /** Measures one response as its parts arrive; used on one event loop only. */
    private final class ResponseRecorder {
        private final long mDueAtNanos;
        private final boolean mMeasured;
        private final EventStreamParser mParser =
                new EventStreamParser(this::onEvent, comment -> {});
        private boolean mDone;
        private long mLastPartAtNanos;
        private boolean mEnded;

        ResponseRecorder(long dueAtNanos, boolean measured) {
            mDueAtNanos = dueAtNanos;
            mMeasured = measured;
        }

        void onResponse(HttpClientResponse response) {
            response.handler(this::onPart);
            response.exceptionHandler(e -> onEnd(0));
            response.endHandler(v -> onEnd(response.statusCode()));
        }

        private void onPart(Buffer part) {
            long nowNanos = System.nanoTime();
            if (mMeasured) {
                long elapsedNanos =
                        mLastPartAtNanos == 0
                                ? nowNanos - mDueAtNanos
                                : nowNanos - mLastPartAtNanos;
                Histogram histogram = mLastPartAtNanos == 0 ? mFirstTokenMicros : mTokenGapMicros;
                histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
            }
            mLastPartAtNanos = nowNanos;
            mParser.accept(part);
        }

        private void onEvent(StreamEvent event) {
            mDone |= event.isDone();
        }

        void onEnd(int status) {
            if (mEnded || !mMeasured) {
                return;
            }
            mEnded = true;
            if (status == STATUS_TOO_MANY_REQUESTS) {
                mRateLimitedCount.incrementAndGet();
            } else if (status == STATUS_OK && mDone) {
                mResponseMicros.recordValue(
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - mDueAtNanos));
                mCompleteCount.incrementAndGet();
            } else {
                mFailedCount.incrementAndGet();
            }
        }
    }

    private JsonObject report() {
        return new JsonObject()
                .put("sent", mSentCount.get())
                .put("whole", mCompleteCount.get())
                .put("rate_refused", mRateLimitedCount.get())
                .put("failed", mFailedCount.get() + outstandingCount())
                .put("first_token_ms", percentiles(mFirstTokenMicros))
                .put("whole_ms", percentiles(mResponseMicros))
                .put("between_tokens_ms", percentiles(mTokenGapMicros));
    }

    private static JsonObject percentiles(Histogram histogram) {
        return new JsonObject()
                .put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MS)
                .put("p95", histogram.getValueAtPercentile(95) / MICROS_PER_MS)
                .put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MS)
                .put("max", histogram.getMaxValue() / MICROS_PER_MS);
    }
}
