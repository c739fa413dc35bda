package org.sesamepin.node.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Client of a store with the interface of etcd v3's JSON gateway, of which it uses the transaction
 * and lease calls.
 */
final class EtcdStore implements PlatformStore {
    private static final int MAX_CONNECTIONS = 16;
    private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 20;
    private static final int STATUS_OK = 200;

    private final HttpClientAgent mClient;
    private final InetSocketAddress mAddress;
    private final String mServerName;
    private final long mTimeoutMs;

    EtcdStore(Vertx vertx, String address, long timeoutMs) {
        mAddress = PropertyDescriptor.parseAddress(address);
        mServerName = address;
        mTimeoutMs = timeoutMs;
        HttpClientOptions options =
                new HttpClientOptions()
                        .setKeepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS)
                        .setConnectTimeout((int) Math.min(timeoutMs, TimeUnit.SECONDS.toMillis(2)));
        mClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    @Override
    public Future<StoreResult> read(List<StoreRead> reads) {
        JsonArray operations = new JsonArray();
        for (StoreRead read : reads) {
            operations.add(new JsonObject().put("request_range", rangeRequest(read)));
        }
        JsonObject body = new JsonObject().put("success", operations);
        return post(Step.STORE_READ, "/v3/kv/txn", body).map(EtcdStore::parseResult);
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        JsonArray compares = new JsonArray();
        for (StoreTransaction.Compare compare : transaction.compares()) {
            compares.add(
                    new JsonObject()
                            .put("key", toBase64(compare.key()))
                            .put("target", "MOD")
                            .put("result", "EQUAL")
                            .put("mod_revision", Long.toString(compare.modRevision())));
        }
        JsonArray success = new JsonArray();
        transaction.writes().forEach(w -> success.add(writeOperation(w)));
        JsonArray failure = new JsonArray();
        for (StoreRead read : transaction.elseReads()) {
            failure.add(new JsonObject().put("request_range", rangeRequest(read)));
        }
        JsonObject body =
                new JsonObject()
                        .put("compare", compares)
                        .put("success", success)
                        .put("failure", failure);
        return post(Step.STORE_WRITE, "/v3/kv/txn", body).map(EtcdStore::parseResult);
    }

    @Override
    public Future<Long> grantLease(long ttlSeconds) {
        JsonObject body = new JsonObject().put("TTL", Long.toString(ttlSeconds)).put("ID", "0");
        return post(Step.STORE_WRITE, "/v3/lease/grant", body).map(r -> parseLong(r, "ID"));
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        JsonObject body = new JsonObject().put("ID", Long.toString(lease));
        return post(Step.STORE_WRITE, "/v3/lease/keepalive", body)
                .map(r -> parseLong(r.getJsonObject("result", new JsonObject()), "TTL") > 0);
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        JsonObject body = new JsonObject().put("ID", Long.toString(lease));
        return post(Step.STORE_WRITE, "/v3/lease/revoke", body).mapEmpty();
    }

    private static JsonObject rangeRequest(StoreRead read) {
        JsonObject range = new JsonObject().put("key", toBase64(read.key()));
        if (read.prefix()) {
            range.put("range_end", toBase64(prefixEnd(read.key())));
        }
        return read.keysOnly() ? range.put("keys_only", true) : range;
    }

    private static JsonObject writeOperation(StoreTransaction.Write write) {
        JsonObject operation = new JsonObject().put("key", toBase64(write.key()));
        if (write.delete()) {
            return new JsonObject().put("request_delete_range", operation);
        }
        operation.put("value", Base64.getEncoder().encodeToString(write.value()));
        if (write.lease() != 0) {
            operation.put("lease", Long.toString(write.lease()));
        }
        return new JsonObject().put("request_put", operation);
    }

    private Future<JsonObject> post(Step step, String path, JsonObject body) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(mAddress.getHostString())
                        .setPort(mAddress.getPort())
                        .setURI(path);
        Buffer bytes = body.toBuffer();
        return mClient.request(options)
                .compose(
                        request ->
                                request.putHeader("Content-Type", "application/json")
                                        .send(bytes)
                                        .compose(r -> r.body().map(b -> parseResponse(r, b)))
                                        .timeout(mTimeoutMs, TimeUnit.MILLISECONDS)
                                        .onFailure(e -> request.reset()))
                .compose(reply -> failOnError(step, reply))
                .recover(e -> Future.failedFuture(toStoreException(step, e)));
    }

    private static JsonObject parseResponse(HttpClientResponse response, Buffer body) {
        JsonObject json = body.toJsonObject();
        if (response.statusCode() != STATUS_OK && !json.containsKey("error")) {
            json.put("error", "status " + response.statusCode());
        }
        return json;
    }

    private Future<JsonObject> failOnError(Step step, JsonObject reply) {
        if (reply.containsKey("error")) {
            String message = reply.getString("error");
            return Future.failedFuture(new SesamepinException(step, mServerName, message));
        }
        return Future.succeededFuture(reply);
    }

    private SesamepinException toStoreException(Step step, Throwable e) {
        if (e instanceof SesamepinException failure) {
            return failure;
        }
        Execution execution = step == Step.STORE_READ ? Execution.NOT_RUN : Execution.UNKNOWN;
        return new SesamepinException(
                step, mServerName, execution, "call to the store failed: " + e, e);
    }

    private static StoreResult parseResult(JsonObject reply) {
        List<StoreEntry> entries = new ArrayList<>();
        JsonArray responses = reply.getJsonArray("responses", new JsonArray());
        for (int i = 0; i < responses.size(); i++) {
            JsonObject range = responses.getJsonObject(i).getJsonObject("response_range");
            if (range == null) {
                continue;
            }
            JsonArray found = range.getJsonArray("kvs", new JsonArray());
            for (int j = 0; j < found.size(); j++) {
                entries.add(parseEntry(found.getJsonObject(j)));
            }
        }
        long revision = parseLong(reply.getJsonObject("header", new JsonObject()), "revision");
        boolean committed = Boolean.TRUE.equals(reply.getBoolean("succeeded"));
        return new StoreResult(revision, committed, entries);
    }

    private static StoreEntry parseEntry(JsonObject json) {
        Base64.Decoder decoder = Base64.getDecoder();
        String key = new String(decoder.decode(json.getString("key")), StandardCharsets.UTF_8);
        byte[] value = decoder.decode(json.getString("value", ""));
        return new StoreEntry(key, value, parseLong(json, "mod_revision"));
    }

    private static String toBase64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the first key that sorts after all keys that start with {@code prefix}. */
    private static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    private static long parseLong(JsonObject object, String name) {
        Object value = object.getValue(name);
        return value == null ? 0 : Long.parseLong(value.toString());
    }

    @Override
    public void close() {
        mClient.close();
    }
}
