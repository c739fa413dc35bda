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

/**
 * Sends streamed requests on a schedule that does not wait for answers. Times count from when a
 * request was due, so that a slow fleet cannot hide by slowing the load.
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

    /** Runs and returns the report; the first {@code warmup} seconds are not counted. */
    JsonObject run(double rate, int warmup, int seconds) throws InterruptedException {
        long start = System.nanoTime();
        long countFrom = start + TimeUnit.SECONDS.toNanos(warmup);
        long end = countFrom + TimeUnit.SECONDS.toNanos(seconds);
        long due = start;
        int number = 0;
        while (due < end) {
            long wait = due - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            send(number++, due, due >= countFrom);
            due += (long) (-Math.log(1 - mRandom.nextDouble()) / rate * 1e9);
        }
        long patience = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MS);
        while (outstandingCount() > 0 && System.nanoTime() < patience) {
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

    private void send(int number, long due, boolean counted) {
        InetSocketAddress at = mCallerAddresses.get(number % mCallerAddresses.size());
        JsonObject call =
                new JsonObject()
                        .put("model", mModel)
                        .put("prompt", "request " + number)
                        .put("max_tokens", mTokens)
                        .put("stream", true);
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(at.getHostString())
                        .setPort(at.getPort())
                        .setURI("/v1/completions")
                        .putHeader("Authorization", "Bearer " + mKey);
        if (counted) {
            mSentCount.incrementAndGet();
        }
        ResponseRecorder answer = new ResponseRecorder(due, counted);
        mVertx.runOnContext(
                v ->
                        mClient.request(options)
                                .compose(r -> r.send(call.toBuffer()))
                                .onSuccess(answer::onResponse)
                                .onFailure(e -> answer.onEnd(0)));
    }

    /** One answer as it arrives; on one event loop. */
    private final class ResponseRecorder {
        private final long mDueAtNanos;
        private final boolean mMeasured;
        private final StringBuilder mText = new StringBuilder();
        private long mLastPartAtNanos;
        private boolean mEnded;

        ResponseRecorder(long due, boolean counted) {
            mDueAtNanos = due;
            mMeasured = counted;
        }

        void onResponse(HttpClientResponse response) {
            response.handler(this::onPart);
            response.exceptionHandler(e -> onEnd(0));
            response.endHandler(v -> onEnd(response.statusCode()));
        }

        private void onPart(Buffer part) {
            long now = System.nanoTime();
            if (mMeasured) {
                long since = mLastPartAtNanos == 0 ? now - mDueAtNanos : now - mLastPartAtNanos;
                Histogram histogram = mLastPartAtNanos == 0 ? mFirstTokenMicros : mTokenGapMicros;
                histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(since));
            }
            mLastPartAtNanos = now;
            mText.append(part.toString());
        }

        void onEnd(int status) {
            if (mEnded || !mMeasured) {
                return;
            }
            mEnded = true;
            if (status == STATUS_TOO_MANY_REQUESTS) {
                mRateLimitedCount.incrementAndGet();
            } else if (status == STATUS_OK && mText.indexOf("data: [DONE]") >= 0) {
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
