package org.sesamepin.standin.store;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Keys, revisions and leases of the stand-in store; not thread-safe, the caller synchronizes. */
final class KeyValueState {
    /** Value, revisions and lease of one key; a lease of 0 means none. */
    record Entry(String value, long createRevision, long modRevision, long version, long lease) {}

    private static final class Lease {
        private final long mTtlMs;
        private long mExpiresAtMs;

        Lease(long ttlMs, long nowMs) {
            mTtlMs = ttlMs;
            mExpiresAtMs = nowMs + ttlMs;
        }
    }

    private final TreeMap<String, Entry> mEntries;
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision;
    private long mNextLeaseId = 1_000;

    KeyValueState() {
        mEntries = new TreeMap<>();
    }

    /** Copies the entries and the revision, for reads that return an older state. */
    private KeyValueState(KeyValueState other) {
        mEntries = new TreeMap<>(other.mEntries);
        mRevision = other.mRevision;
    }

    KeyValueState snapshot() {
        return new KeyValueState(this);
    }

    JsonObject header() {
        return new JsonObject().put("revision", Long.toString(mRevision));
    }

    JsonObject range(JsonObject request) {
        String key = decode(request.getString("key", ""));
        @Nullable String rangeEnd = request.getString("range_end");
        long limit = parseLong(request, "limit");
        boolean keysOnly = Boolean.TRUE.equals(request.getBoolean("keys_only"));
        JsonArray entries = new JsonArray();
        for (Map.Entry<String, Entry> entry : entriesInRange(key, rangeEnd).entrySet()) {
            if (limit > 0 && entries.size() >= limit) {
                break;
            }
            entries.add(toJson(entry.getKey(), entry.getValue(), keysOnly));
        }
        return new JsonObject()
                .put("header", header())
                .put("kvs", entries)
                .put("count", Integer.toString(entries.size()));
    }

    private Map<String, Entry> entriesInRange(String key, @Nullable String rangeEnd) {
        if (rangeEnd == null || rangeEnd.isEmpty()) {
            Entry entry = mEntries.get(key);
            return entry == null ? Map.of() : Map.of(key, entry);
        }
        return mEntries.subMap(key, true, decode(rangeEnd), false);
    }

    private static JsonObject toJson(String key, Entry entry, boolean keysOnly) {
        JsonObject json =
                new JsonObject()
                        .put("key", encode(key))
                        .put("create_revision", Long.toString(entry.createRevision()))
                        .put("mod_revision", Long.toString(entry.modRevision()))
                        .put("version", Long.toString(entry.version()))
                        .put("lease", Long.toString(entry.lease()));
        return keysOnly ? json : json.put("value", entry.value());
    }

    JsonObject executeTransaction(
            JsonArray comparisons, JsonArray successOperations, JsonArray failureOperations) {
        boolean succeeded = true;
        for (int i = 0; i < comparisons.size(); i++) {
            succeeded &= compare(comparisons.getJsonObject(i));
        }
        JsonArray operations = succeeded ? successOperations : failureOperations;
        JsonArray responses = new JsonArray();
        if (containsWrite(operations)) {
            mRevision++;
        }
        for (int i = 0; i < operations.size(); i++) {
            responses.add(apply(operations.getJsonObject(i)));
        }
        return new JsonObject()
                .put("header", header())
                .put("succeeded", succeeded)
                .put("responses", responses);
    }

    private static boolean containsWrite(JsonArray operations) {
        return operations.stream().anyMatch(o -> !((JsonObject) o).containsKey("request_range"));
    }

    private boolean compare(JsonObject comparison) {
        Entry entry = mEntries.get(decode(comparison.getString("key")));
        return switch (comparison.getString("target")) {
            case "CREATE" ->
                    (entry == null ? 0 : entry.createRevision())
                            == parseLong(comparison, "create_revision");
            case "MOD" ->
                    (entry == null ? 0 : entry.modRevision())
                            == parseLong(comparison, "mod_revision");
            case "VALUE" -> entry != null && entry.value().equals(comparison.getString("value"));
            default -> false;
        };
    }

    private JsonObject apply(JsonObject operation) {
        if (operation.containsKey("request_range")) {
            return new JsonObject()
                    .put("response_range", range(operation.getJsonObject("request_range")));
        }
        if (operation.containsKey("request_delete_range")) {
            JsonObject delete = operation.getJsonObject("request_delete_range");
            String key = decode(delete.getString("key"));
            List<String> keys =
                    new ArrayList<>(entriesInRange(key, delete.getString("range_end")).keySet());
            keys.forEach(mEntries::remove);
            return new JsonObject()
                    .put(
                            "response_delete_range",
                            new JsonObject().put("deleted", Integer.toString(keys.size())));
        }
        JsonObject put = operation.getJsonObject("request_put");
        put(decode(put.getString("key")), put.getString("value", ""), parseLong(put, "lease"));
        return new JsonObject().put("response_put", new JsonObject());
    }

    private void put(String key, String value, long lease) {
        Entry previous = mEntries.get(key);
        long createRevision = previous == null ? mRevision : previous.createRevision();
        long version = previous == null ? 1 : previous.version() + 1;
        mEntries.put(key, new Entry(value, createRevision, mRevision, version, lease));
    }

    /** Returns whether all leases to which the operations attach keys exist. */
    boolean leasesExist(JsonArray operations) {
        for (int i = 0; i < operations.size(); i++) {
            JsonObject put = operations.getJsonObject(i).getJsonObject("request_put");
            long lease = put == null ? 0 : parseLong(put, "lease");
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return false;
            }
        }
        return true;
    }

    long grantLease(long ttlMs, long nowMs) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMs, nowMs));
        return id;
    }

    /** Renews a lease and returns its time to live in seconds, or 0 when it does not exist. */
    long keepAlive(long id, long nowMs) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return 0;
        }
        lease.mExpiresAtMs = nowMs + lease.mTtlMs;
        return Math.max(1, lease.mTtlMs / 1_000);
    }

    void revoke(long id) {
        mLeases.remove(id);
        boolean removed = mEntries.values().removeIf(e -> e.lease() == id);
        if (removed) {
            mRevision++;
        }
    }

    void revokeAll() {
        new ArrayList<>(mLeases.keySet()).forEach(this::revoke);
    }

    void expireLeases(long nowMs) {
        for (Map.Entry<Long, Lease> entry : new ArrayList<>(mLeases.entrySet())) {
            if (entry.getValue().mExpiresAtMs <= nowMs) {
                revoke(entry.getKey());
            }
        }
    }

    static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Parses a number that the protocol writes as a string; 0 when the member is missing. */
    static long parseLong(JsonObject object, String name) {
        Object value = object.getValue(name);
        return value == null ? 0 : Long.parseLong(value.toString());
    }
}
