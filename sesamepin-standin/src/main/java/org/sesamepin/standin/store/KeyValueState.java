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

/** Keys, revisions and leases of the stand-in store; used from one thread. */
final class KeyValueState {
    /** One key's value and revisions. */
    record Entry(String value, long createRevision, long modRevision, long version, long lease) {}

    private static final class Lease {
        private final long mTtlMs;
        private long mExpiresAtMs;

        Lease(long ttlMs, long now) {
            mTtlMs = ttlMs;
            mExpiresAtMs = now + ttlMs;
        }
    }

    private final TreeMap<String, Entry> mEntries;
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision;
    private long mNextLeaseId = 1_000;

    KeyValueState() {
        mEntries = new TreeMap<>();
    }

    /** Copies the entries, for answers that lag behind. */
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
        @Nullable String end = request.getString("range_end");
        long limit = parseLong(request, "limit");
        boolean keysOnly = Boolean.TRUE.equals(request.getBoolean("keys_only"));
        JsonArray found = new JsonArray();
        for (Map.Entry<String, Entry> entry : entriesInRange(key, end).entrySet()) {
            if (limit > 0 && found.size() >= limit) {
                break;
            }
            found.add(toJson(entry.getKey(), entry.getValue(), keysOnly));
        }
        return new JsonObject()
                .put("header", header())
                .put("kvs", found)
                .put("count", Integer.toString(found.size()));
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

    JsonObject executeTransaction(JsonArray compares, JsonArray success, JsonArray failure) {
        boolean holds = true;
        for (int i = 0; i < compares.size(); i++) {
            holds &= compare(compares.getJsonObject(i));
        }
        JsonArray operations = holds ? success : failure;
        JsonArray responses = new JsonArray();
        if (containsWrite(operations)) {
            mRevision++;
        }
        for (int i = 0; i < operations.size(); i++) {
            responses.add(apply(operations.getJsonObject(i)));
        }
        return new JsonObject()
                .put("header", header())
                .put("succeeded", holds)
                .put("responses", responses);
    }

    private static boolean containsWrite(JsonArray operations) {
        return operations.stream().anyMatch(o -> !((JsonObject) o).containsKey("request_range"));
    }

    private boolean compare(JsonObject compare) {
        Entry entry = mEntries.get(decode(compare.getString("key")));
        return switch (compare.getString("target")) {
            case "CREATE" ->
                    (entry == null ? 0 : entry.createRevision())
                            == parseLong(compare, "create_revision");
            case "MOD" ->
                    (entry == null ? 0 : entry.modRevision()) == parseLong(compare, "mod_revision");
            case "VALUE" -> entry != null && entry.value().equals(compare.getString("value"));
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
        Entry before = mEntries.get(key);
        long created = before == null ? mRevision : before.createRevision();
        long version = before == null ? 1 : before.version() + 1;
        mEntries.put(key, new Entry(value, created, mRevision, version, lease));
    }

    /** Tells whether all leases that the operations name exist. */
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

    long grantLease(long ttlMs, long now) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMs, now));
        return id;
    }

    /** Renews a lease and returns its time to live in seconds; 0 when it has ended. */
    long keepAlive(long id, long now) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return 0;
        }
        lease.mExpiresAtMs = now + lease.mTtlMs;
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

    void expireLeases(long now) {
        for (Map.Entry<Long, Lease> lease : new ArrayList<>(mLeases.entrySet())) {
            if (lease.getValue().mExpiresAtMs <= now) {
                revoke(lease.getKey());
            }
        }
    }

    static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads a number that the protocol writes as a string. */
    static long parseLong(JsonObject object, String name) {
        Object value = object.getValue(name);
        return value == null ? 0 : Long.parseLong(value.toString());
    }
}
