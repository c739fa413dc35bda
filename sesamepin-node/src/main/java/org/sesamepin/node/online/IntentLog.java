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
 * Records in the store the intent to make a call with an idempotency key. Of all requests with the
 * same key, through any host, at most one is sent to a target; later ones get its stored response.
 */
public final class IntentLog {
    private static final Logger LOG = LoggerFactory.getLogger(IntentLog.class);
    private static final int MAX_STORED_BODY_BYTES = 256 * 1024;
    private static final int MAX_RETRIES = 20;
    private static final long RETRY_INTERVAL_MS = 500;
    private static final String STATE_STARTED = "started";

    /**
     * The intent to make one call.
     *
     * @param storeKey key of the record in the store
     * @param requestDigest digest of the URI and the body, which a retry of the call has to match
     * @param requestId id of the request that makes the call
     */
    public record Intent(String storeKey, String requestDigest, String requestId) {}

    /**
     * Stored response of an earlier call.
     *
     * @param status HTTP status
     * @param contentType value of the Content-Type header
     * @param body the whole body
     */
    public record StoredResponse(int status, String contentType, Buffer body) {}

    private final Vertx mVertx;
    private final PlatformStore mStore;

    /** Creates a log that keeps its records in {@code store}. */
    public IntentLog(Vertx vertx, PlatformStore store) {
        mVertx = vertx;
        mStore = store;
    }

    /**
     * Returns the intent to make a call; nothing is written yet. The record's key is derived from
     * the customer, the route and the idempotency key.
     */
    public Intent createIntent(
            String customer,
            String route,
            String idempotencyKey,
            String uri,
            Buffer body,
            String requestId) {
        String keyDigest = digest(customer, route, idempotencyKey);
        return new Intent(
                StoreKeys.intent(keyDigest),
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
     * Records the intent. Returns null when the call is to be made now, or the stored response of
     * an earlier call. Fails with {@link ProblemType#IN_DOUBT} when an earlier call has no stored
     * response, with {@link ProblemType#KEY_REUSED} when the idempotency key belongs to another
     * call, and with {@link ProblemType#STORE_UNAVAILABLE} when the intent cannot be recorded.
     */
    public Future<@Nullable StoredResponse> recordIntent(Intent intent) {
        StoreTransaction createRecord =
                new StoreTransaction()
                        .ifAbsent(intent.storeKey())
                        .put(intent.storeKey(), startedRecord(intent).encode())
                        .elseRead(intent.storeKey());
        return mStore.commit(createRecord)
                .compose(result -> onWriteReply(intent, result))
                .recover(e -> onWriteFailed(intent, e));
    }

    private static JsonObject startedRecord(Intent intent) {
        return new JsonObject()
                .put("state", STATE_STARTED)
                .put("digest", intent.requestDigest())
                .put("request_id", intent.requestId());
    }

    private static Future<@Nullable StoredResponse> onWriteReply(
            Intent intent, StoreResult result) {
        StoreEntry entry = result.entry(intent.storeKey());
        if (result.committed() || entry == null) {
            return Future.succeededFuture(null);
        }
        JsonObject record = new JsonObject(entry.text());
        if (!intent.requestDigest().equals(record.getString("digest"))) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.KEY_REUSED,
                            Step.STORE_WRITE,
                            "use a new idempotency key for a new call"));
        }
        if (STATE_STARTED.equals(record.getString("state"))) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.IN_DOUBT,
                            Step.STORE_WRITE,
                            "node",
                            Execution.UNKNOWN,
                            "the earlier call runs or its response was lost; it is not repeated",
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
                            "the earlier call ran; its response was too large to store",
                            0,
                            null));
        }
        byte[] body = Base64.getDecoder().decode(record.getString("body"));
        return Future.succeededFuture(
                new StoredResponse(
                        record.getInteger("status"),
                        record.getString("content_type"),
                        Buffer.buffer(body)));
    }

    /**
     * Handles a failed write of the intent. A write of unknown outcome may have taken effect; since
     * nothing was sent to a target, the intent is deleted again.
     */
    private Future<@Nullable StoredResponse> onWriteFailed(Intent intent, Throwable e) {
        if (e instanceof Problem) {
            return Future.failedFuture(e);
        }
        if (e instanceof SesamepinException known && known.execution() == Execution.UNKNOWN) {
            deleteIntent(intent);
        }
        return Future.failedFuture(
                new Problem(
                        ProblemType.STORE_UNAVAILABLE,
                        Step.STORE_WRITE,
                        "store",
                        Execution.NOT_RUN,
                        "the intent could not be recorded; nothing was sent to a target",
                        1_000,
                        e));
    }

    /**
     * Stores the response for later retries of the call; the write is retried while the store is
     * unreachable. A body of more than {@code MAX_STORED_BODY_BYTES} is not stored: retries then
     * fail with {@link ProblemType#IN_DOUBT}.
     */
    public void storeResponse(Intent intent, int status, String contentType, Buffer body) {
        byte[] storedBody = body.length() <= MAX_STORED_BODY_BYTES ? body.getBytes() : new byte[0];
        JsonObject record =
                new JsonObject()
                        .put("state", "done")
                        .put("digest", intent.requestDigest())
                        .put("request_id", intent.requestId())
                        .put("status", status)
                        .put("content_type", contentType)
                        .put("too_large", body.length() > MAX_STORED_BODY_BYTES)
                        .put("body", Base64.getEncoder().encodeToString(storedBody));
        retry(
                intent,
                () -> mStore.commit(new StoreTransaction().put(intent.storeKey(), record.encode())),
                MAX_RETRIES);
    }

    /** Deletes the intent of a call of which nothing was sent to a target. */
    public void deleteIntent(Intent intent) {
        retry(intent, () -> deleteIfOwn(intent), MAX_RETRIES);
    }

    private Future<StoreResult> deleteIfOwn(Intent intent) {
        StoreTransaction readRecord =
                new StoreTransaction()
                        .ifUnchanged(intent.storeKey(), -1)
                        .elseRead(intent.storeKey());
        return mStore.commit(readRecord)
                .compose(
                        readResult -> {
                            StoreEntry entry = readResult.entry(intent.storeKey());
                            boolean isOwn =
                                    entry != null
                                            && intent.requestId()
                                                    .equals(
                                                            new JsonObject(entry.text())
                                                                    .getString("request_id"));
                            if (entry == null || !isOwn) {
                                return Future.succeededFuture(readResult);
                            }
                            return mStore.commit(
                                    new StoreTransaction()
                                            .ifUnchanged(intent.storeKey(), entry.modRevision())
                                            .delete(intent.storeKey()));
                        });
    }

    private void retry(Intent intent, Supplier<Future<StoreResult>> write, int remainingRetries) {
        write.get()
                .onFailure(
                        e -> {
                            if (remainingRetries > 0) {
                                mVertx.setTimer(
                                        RETRY_INTERVAL_MS,
                                        t -> retry(intent, write, remainingRetries - 1));
                            } else {
                                LOG.warn(
                                        "step=store-write request={} waited-ms={} message=\"{}\"",
                                        intent.requestId(),
                                        TimeUnit.MILLISECONDS.toMillis(
                                                RETRY_INTERVAL_MS * MAX_RETRIES),
                                        e.getMessage());
                            }
                        });
    }
}
