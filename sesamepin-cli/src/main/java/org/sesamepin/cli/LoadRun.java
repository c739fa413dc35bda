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
    private static final int STATUS_RATE = 429;
    private static final long DRAIN_MS = 30_000;
    private static final int POOL_SIZE = 2_048;
    private static final double MICROS_PER_MS = 1_000.0;

    private final Vertx mVertx;
    private final HttpClientAgent mClient;
    private final List<InetSocketAddress> mCallers;
    private final String mKey;
    private final String mModel;
    private final int mTokens;
    private final Random mRandom;
    private final Histogram mFirst = new ConcurrentHistogram(3);
    private final Histogram mWhole = new ConcurrentHistogram(3);
    private final Histogram mBetween = new ConcurrentHistogram(3);
    private final AtomicLong mSent = new AtomicLong();
    private final AtomicLong mComplete = new AtomicLong();
    private final AtomicLong mRateRefused = new AtomicLong();
    private final AtomicLong mFailed = new AtomicLong();

    LoadRun(Vertx vertx, List<String> callers, String key, String model, int tokens, long seed) {
        mVertx = vertx;
        mClient = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(POOL_SIZE));
        mCallers = callers.stream().map(PropertyDescriptor::parseAddress).toList();
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
        long patience = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        while (open() > 0 && System.nanoTime() < patience) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return report();
    }

    private long open() {
        return mSent.get() - mComplete.get() - mRateRefused.get() - mFailed.get();
    }

    private void send(int number, long due, boolean counted) {
        InetSocketAddress at = mCallers.get(number % mCallers.size());
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
            mSent.incrementAndGet();
        }
        Answer answer = new Answer(due, counted);
        mVertx.runOnContext(
                v ->
                        mClient.request(options)
                                .compose(r -> r.send(call.toBuffer()))
                                .onSuccess(answer::begin)
                                .onFailure(e -> answer.end(0)));
    }

    /** One answer as it arrives; on one event loop. */
    private final class Answer {
        private final long mDue;
        private final boolean mCounted;
        private final StringBuilder mText = new StringBuilder();
        private long mLastAt;
        private boolean mEnded;

        Answer(long due, boolean counted) {
            mDue = due;
            mCounted = counted;
        }

        void begin(HttpClientResponse response) {
            response.handler(this::part);
            response.exceptionHandler(e -> end(0));
            response.endHandler(v -> end(response.statusCode()));
        }

        private void part(Buffer part) {
            long now = System.nanoTime();
            if (mCounted) {
                long since = mLastAt == 0 ? now - mDue : now - mLastAt;
                Histogram histogram = mLastAt == 0 ? mFirst : mBetween;
                histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(since));
            }
            mLastAt = now;
            mText.append(part.toString());
        }

        void end(int status) {
            if (mEnded || !mCounted) {
                return;
            }
            mEnded = true;
            if (status == STATUS_RATE) {
                mRateRefused.incrementAndGet();
            } else if (status == STATUS_OK && mText.indexOf("data: [DONE]") >= 0) {
                mWhole.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - mDue));
                mComplete.incrementAndGet();
            } else {
                mFailed.incrementAndGet();
            }
        }
    }

    private JsonObject report() {
        return new JsonObject()
                .put("sent", mSent.get())
                .put("whole", mComplete.get())
                .put("rate_refused", mRateRefused.get())
                .put("failed", mFailed.get() + open())
                .put("first_token_ms", percentiles(mFirst))
                .put("whole_ms", percentiles(mWhole))
                .put("between_tokens_ms", percentiles(mBetween));
    }

    private static JsonObject percentiles(Histogram histogram) {
        return new JsonObject()
                .put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MS)
                .put("p95", histogram.getValueAtPercentile(95) / MICROS_PER_MS)
                .put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MS)
                .put("max", histogram.getMaxValue() / MICROS_PER_MS);
    }
}
