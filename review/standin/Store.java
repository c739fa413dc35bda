import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: items with revisions, conditional
 * writes, watches and leases. A value over 1 MiB is refused with 413 and nothing is done. Leases
 * pause while the store is down.
 */
final class Store {
    static final int MAX_VALUE_BYTES = 1_048_576;
    private static final int LATE_MS = 3_400;
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;

    private record Item(String key, String value, long revision, long created, long lease) {
        JsonObject json() {
            return new JsonObject().put("key", key).put("value", value).put("revision", revision)
                    .put("created", created).put("lease", lease);
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<JsonObject> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Record mRecord;
    private long mRevision = 1;
    private long mLastLease = 1_000;
    private volatile boolean mDown;
    /** A write that matches gets no answer and is done {@link #LATE_MS} later, if it still can be. */
    volatile Predicate<JsonObject> doLate = body -> false;
    private final int mPort;

    Store(Record record) throws Exception {
        mRecord = record;
        mPort = Http.serve(this::handle).port();
        Http.start(this::expireLeases);
    }

    int port() {
        return mPort;
    }

    private void expireLeases() throws InterruptedException {
        long last = System.nanoTime();
        while (true) {
            Thread.sleep(25);
            long now = System.nanoTime();
            synchronized (this) {
                if (mDown) {
                    for (Lease lease : mLeases.values()) {
                        lease.endsAt += now - last;
                    }
                } else {
                    for (Map.Entry<Long, Lease> entry : Map.copyOf(mLeases).entrySet()) {
                        if (now - entry.getValue().endsAt > 0) {
                            mRecord.line("store", "lease " + entry.getKey() + " ran out");
                            endLease(entry.getKey());
                        }
                    }
                }
            }
            last = now;
        }
    }

    private void endLease(long id) {
        mLeases.remove(id);
        List<String> keys = new ArrayList<>();
        for (Item item : mItems.values()) {
            if (item.lease == id) {
                keys.add(item.key);
            }
        }
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(this::delete);
            notifyAll();
        }
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            mEvents.add(new JsonObject().put("key", key).put("revision", mRevision).put("deleted", true));
        }
    }

    /** Writes an item as the operator or a replica does. */
    synchronized void put(String key, String text) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    private void put(String key, String value, long lease) {
        Item previous = mItems.get(key);
        long created = previous == null ? mRevision : previous.created;
        Item item = new Item(key, value, mRevision, created, lease);
        mItems.put(key, item);
        mEvents.add(item.json());
    }

    /** Makes the store answer every call with 503 and do nothing, until {@link #up}. */
    synchronized void down() {
        mRecord.line("store", "is down (busy: every call gets 503)");
        mDown = true;
        notifyAll();
    }

    synchronized void up() {
        mRecord.line("store", "is back");
        mDown = false;
        notifyAll();
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        if (mDown) {
            Http.respondJson(socket, 503, "{}");
            return true;
        }
        if (request.path.equals("/-/kv-watch")) {
            return watch(request, socket);
        }
        JsonObject body = request.body.length == 0 ? new JsonObject() : new JsonObject(request.text());
        if (request.path.equals("/-/kv-txn") && doLate.test(body)) {
            mRecord.line("store", "write " + keys(body) + " gets no answer");
            Thread.sleep(LATE_MS);
            synchronized (this) {
                mRecord.line("store", "late write " + keys(body) + " status " + transact(body, new JsonObject()));
            }
            Thread.sleep(LATE_MS);
            return false;
        }
        int status = 200;
        JsonObject reply = new JsonObject();
        synchronized (this) {
            if (request.path.equals("/-/kv-range")) {
                range(request, reply);
            } else if (request.path.equals("/-/kv-key")) {
                Item item = mItems.get(request.query.get("key"));
                status = item == null ? 404 : 200;
                reply = item == null ? reply : item.json();
            } else if (request.path.equals("/-/kv-txn")) {
                status = transact(body, reply);
            } else if (request.path.equals("/-/kv-lease")) {
                Lease lease = new Lease();
                lease.ttlMs = body.getLong("ttlMs");
                lease.endsAt = System.nanoTime() + lease.ttlMs * 1_000_000;
                mLeases.put(++mLastLease, lease);
                reply.put("lease", mLastLease).put("ttlMs", lease.ttlMs);
            } else if (request.path.startsWith("/-/kv-keep/")) {
                Lease lease = mLeases.get(Long.parseLong(request.path.substring(11)));
                status = lease == null ? 404 : 200;
                if (lease != null) {
                    lease.endsAt = System.nanoTime() + lease.ttlMs * 1_000_000;
                    reply.put("ttlMs", lease.ttlMs);
                }
            } else if (request.path.startsWith("/-/kv-lease-end/")) {
                endLease(Long.parseLong(request.path.substring(16)));
            } else {
                status = 404;
            }
        }
        if (request.path.equals("/-/kv-txn")) {
            mRecord.line("store", "write " + keys(body) + " status " + status);
        }
        Http.respondJson(socket, status, reply.encode());
        return true;
    }

    private static String keys(JsonObject body) {
        List<String> keys = new ArrayList<>();
        body.getJsonArray("writes", new JsonArray()).forEach(w -> keys.add(((JsonObject) w).getString("key")
                + "(" + ((JsonObject) w).getString("value").length() * 3 / 4 + " B)"));
        body.getJsonArray("remove", new JsonArray()).forEach(key -> keys.add("-" + key));
        return String.join(" ", keys);
    }

    private void range(Http.Message request, JsonObject reply) {
        String prefix = request.query.getOrDefault("prefix", "");
        String after = request.query.getOrDefault("after", "");
        JsonArray items = new JsonArray();
        long bytes = 0;
        boolean more = false;
        for (Item item : mItems.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!item.key.startsWith(prefix)) {
                if (item.key.compareTo(prefix) > 0) {
                    break;
                }
                continue;
            }
            if (items.size() >= MAX_PAGE_ITEMS || (bytes > 0 && bytes + item.value.length() > MAX_PAGE_BYTES)) {
                more = true;
                break;
            }
            items.add(item.json());
            bytes += item.value.length();
        }
        reply.put("items", items).put("hasMore", more).put("at", mRevision);
    }

    private int transact(JsonObject body, JsonObject reply) {
        JsonArray states = new JsonArray();
        boolean holds = true;
        JsonArray expectations = body.getJsonArray("expectedRev", new JsonArray());
        for (Object row : expectations) {
            JsonObject expected = (JsonObject) row;
            Item item = mItems.get(expected.getString("key"));
            long revision = item == null ? 0 : item.revision;
            holds &= revision == expected.getLong("revision");
            states.add(item == null
                    ? new JsonObject().put("key", expected.getString("key")).put("revision", 0)
                    : item.json());
        }
        for (Object row : body.getJsonArray("writes", new JsonArray())) {
            JsonObject write = (JsonObject) row;
            if (Base64.getDecoder().decode(write.getString("value")).length > MAX_VALUE_BYTES) {
                reply.put("error", "the value is larger than " + MAX_VALUE_BYTES + " bytes");
                return 413;
            }
            long lease = write.getLong("lease", 0L);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return 404;
            }
        }
        if (!holds) {
            reply.put("items", states);
            return 412;
        }
        mRevision++;
        body.getJsonArray("writes", new JsonArray()).forEach(row -> {
            JsonObject write = (JsonObject) row;
            put(write.getString("key"), write.getString("value"), write.getLong("lease", 0L));
        });
        body.getJsonArray("remove", new JsonArray()).forEach(key -> delete((String) key));
        notifyAll();
        reply.put("revision", mRevision);
        return 200;
    }

    private boolean watch(Http.Message request, Socket socket) throws Exception {
        String prefix = request.query.getOrDefault("prefix", "");
        long after = Long.parseLong(request.query.get("after"));
        long endAt = System.nanoTime() + Long.parseLong(request.query.get("waitMs")) * 1_000_000;
        List<JsonObject> found = new ArrayList<>();
        long at;
        synchronized (this) {
            while (true) {
                for (int i = mEvents.size() - 1; i >= 0 && mEvents.get(i).getLong("revision") > after; i--) {
                    if (mEvents.get(i).getString("key").startsWith(prefix)) {
                        found.add(0, mEvents.get(i));
                    }
                }
                long leftMs = (endAt - System.nanoTime()) / 1_000_000;
                if (mDown || !found.isEmpty() || leftMs <= 0) {
                    break;
                }
                wait(Math.min(leftMs, 500));
            }
            at = mRevision;
        }
        if (mDown) {
            return false;
        }
        Http.respondJson(socket, 200, new JsonObject().put("events", new JsonArray(found)).put("at", at).encode());
        return true;
    }

    /** Returns the decoded value of a key, or null. */
    synchronized String get(String key) {
        Item item = mItems.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value));
    }
}
