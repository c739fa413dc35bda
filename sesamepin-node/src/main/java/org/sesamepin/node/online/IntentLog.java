package org.sesamepin.node.online;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.key.KeyDigest;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records in the store that a call with an idempotency key is about to be made, so that of all
 * resends, through whatever host, at most one is sent to a target.
 */
public final class IntentLog {
    private static final Logger LOG = LoggerFactory.getLogger(IntentLog.class);
    private static final int MAX_STORED_BYTES = 256 * 1024;
    private static final int MAX_TRIES = 20;
    private static final long RETRY_MS = 500;
    private static final String STARTED = "started";

    /**
     * The intent to make one call.
     *
     * @param key key in the store
     * @param digest digest of the call, which a resend has to match
     * @param requestId the request that makes the call
     */
    public record Intent(String key, String digest, String requestId) {}

    /**
     * Answer of an earlier call.
     *
     * @param status HTTP status
     * @param contentType its content type
     * @param body its body
     */
    public record StoredAnswer(int status, String contentType, Buffer body) {}

    private final Vertx mVertx;
    private final PlatformStore mStore;

    /** Creates a log in {@code store}. */
    public IntentLog(Vertx vertx, PlatformStore store) {
        mVertx = vertx;
        mStore = store;
    }

    /** Returns the intent of a call. */
    public Intent intent(
            String customer, String route, String key, String uri, Buffer body, String requestId) {
        String name = digest(customer, route, key);
        return new Intent(
                StoreKeys.intent(name),
                digest(uri, body.toString(StandardCharsets.ISO_8859_1)),
                requestId);
    }

    private static String digest(String... parts) {
        MessageDigest sha = KeyDigest.sha256();
        for (String part : parts) {
            sha.update(part.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    /**
     * Records the intent. Returns null when the call is to be made, or the answer of an earlier
     * one. Fails with {@link ProblemType#IN_DOUBT} when an earlier one has no answer.
     */
    public Future<@Nullable StoredAnswer> begin(Intent intent) {
        StoreTransaction create =
                new StoreTransaction()
                        .ifAbsent(intent.key())
                        .put(intent.key(), started(intent).encode())
                        .elseRead(intent.key());
        return mStore.commit(create)
                .compose(result -> begun(intent, result))
                .recover(e -> uncertain(intent, e));
    }

    private static JsonObject started(Intent intent) {
        return new JsonObject()
                .put("state", STARTED)
                .put("digest", intent.digest())
                .put("request_id", intent.requestId());
    }

    private static Future<@Nullable StoredAnswer> begun(Intent intent, StoreResult result) {
        StoreEntry entry = result.entry(intent.key());
        if (result.committed() || entry == null) {
            return Future.succeededFuture(null);
        }
        JsonObject record = new JsonObject(entry.text());
        if (!intent.digest().equals(record.getString("digest"))) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.KEY_REUSED,
                            Step.STORE_WRITE,
                            "use a new key for a new call"));
        }
        if (STARTED.equals(record.getString("state"))) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.IN_DOUBT,
                            Step.STORE_WRITE,
                            "node",
                            Execution.UNKNOWN,
                            "the earlier call runs, or its answer was lost; it is not run again",
                            0,
                            null));
        }
        if (Boolean.TRUE.equals(record.getBoolean("too_large"))) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.IN_DOUBT,
                            Step.STORE_WRITE,
                            "node",
                            Execution.RAN,
                            "the earlier call ran; its answer was too large to keep",
                            0,
                            null));
        }
        byte[] body = Base64.getDecoder().decode(record.getString("body"));
        return Future.succeededFuture(
                new StoredAnswer(
                        record.getInteger("status"),
                        record.getString("content_type"),
                        Buffer.buffer(body)));
    }

    /** The write may have taken effect: nothing was sent, so the intent is taken back in time. */
    private Future<@Nullable StoredAnswer> uncertain(Intent intent, Throwable e) {
        if (e instanceof Problem) {
            return Future.failedFuture(e);
        }
        if (e instanceof SesamepinException known && known.execution() == Execution.UNKNOWN) {
            forget(intent);
        }
        return Future.failedFuture(
                new Problem(
                        ProblemType.STORE_UNAVAILABLE,
                        Step.STORE_WRITE,
                        "store",
                        Execution.NOT_RUN,
                        "the intent could not be recorded, so nothing was sent",
                        1_000,
                        e));
    }

    /** Stores the answer for later resends; tries again while the store is away. */
    public void complete(Intent intent, int status, String contentType, Buffer body) {
        byte[] bytes = body.length() <= MAX_STORED_BYTES ? body.getBytes() : new byte[0];
        JsonObject record =
                new JsonObject()
                        .put("state", "done")
                        .put("digest", intent.digest())
                        .put("request_id", intent.requestId())
                        .put("status", status)
                        .put("content_type", contentType)
                        .put("too_large", body.length() > MAX_STORED_BYTES)
                        .put("body", Base64.getEncoder().encodeToString(bytes));
        retry(
                intent,
                () -> mStore.commit(new StoreTransaction().put(intent.key(), record.encode())),
                MAX_TRIES);
    }

    /** Takes back the intent of a call of which nothing was sent. */
    public void forget(Intent intent) {
        retry(intent, () -> deleteIfOwn(intent), MAX_TRIES);
    }

    private Future<StoreResult> deleteIfOwn(Intent intent) {
        StoreTransaction read =
                new StoreTransaction().ifUnchanged(intent.key(), -1).elseRead(intent.key());
        return mStore.commit(read)
                .compose(
                        found -> {
                            StoreEntry entry = found.entry(intent.key());
                            boolean own =
                                    entry != null
                                            && intent.requestId()
                                                    .equals(
                                                            new JsonObject(entry.text())
                                                                    .getString("request_id"));
                            if (entry == null || !own) {
                                return Future.succeededFuture(found);
                            }
                            return mStore.commit(
                                    new StoreTransaction()
                                            .ifUnchanged(intent.key(), entry.modRevision())
                                            .delete(intent.key()));
                        });
    }

    private void retry(Intent intent, Supplier<Future<StoreResult>> call, int triesLeft) {
        call.get()
                .onFailure(
                        e -> {
                            if (triesLeft > 0) {
                                mVertx.setTimer(RETRY_MS, t -> retry(intent, call, triesLeft - 1));
                            } else {
                                LOG.warn(
                                        "step=store-write request={} waited-ms={} message=\"{}\"",
                                        intent.requestId(),
                                        TimeUnit.MILLISECONDS.toMillis(RETRY_MS * MAX_TRIES),
                                        e.getMessage());
                            }
                        });
    }
}
