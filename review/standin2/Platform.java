import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as its page describes it: items, watches, transactions and leases. */
final class Platform {
    private static final long HISTORY_MS = 20_000;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    /** Decides what becomes of a call before the store sees it. */
    interface Fault {
        enum Fate {
            PASS,
            BUSY,
            RESET,
            /** The call is carried out, and the connection is closed without an answer. */
            DONE_UNANSWERED,
            SILENT
        }

        Fate fate(Http.Message call, String node);
    }

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(long atMs, String key, Item item, long revision) {}

    private static final class Lease {
        private long mTtlMs;
        private long mEndsAtMs;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Deque<Event> mHistory = new ArrayDeque<>();
    private long mRevision = 100;
    private long mForgotten = 100;
    private long mNextLease = 1_000;
    volatile long mDelayMs = 4;
    volatile Fault mFault = (call, node) -> Fault.Fate.PASS;

    Platform() {
        Thread leases = new Thread(this::endLeases, "leases");
        leases.setDaemon(true);
        leases.start();
    }

    /** Listens at an address that one node uses, so that a fault can concern it alone. */
    void listen(InetSocketAddress address, String node) throws IOException {
        new Http.Server(address, (call, socket, out) -> handle(call, node, socket, out));
    }

    private void endLeases() {
        while (true) {
            pause(50);
            synchronized (this) {
                long now = System.currentTimeMillis();
                List<Long> ended = new ArrayList<>();
                mLeases.forEach(
                        (id, lease) -> {
                            if (lease.mEndsAtMs <= now) {
                                ended.add(id);
                            }
                        });
                ended.forEach(this::endLease);
            }
        }
    }

    private void endLease(long id) {
        mLeases.remove(id);
        List<String> keys = new ArrayList<>();
        mItems.forEach(
                (key, item) -> {
                    if (item.lease() == id) {
                        keys.add(key);
                    }
                });
        if (keys.isEmpty()) {
            return;
        }
        mRevision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Event(System.currentTimeMillis(), key, null, mRevision));
        }
    }

    private void put(String key, String value, long lease) {
        Item before = mItems.get(key);
        long created = before == null ? mRevision : before.created();
        Item item = new Item(value, mRevision, created, lease);
        mItems.put(key, item);
        mHistory.add(new Event(System.currentTimeMillis(), key, item, mRevision));
    }

    /** Writes an item as the operator or a server does; null removes it. */
    synchronized long write(String key, String value) {
        mRevision++;
        if (value == null) {
            remove(key);
        } else {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            put(key, Base64.getEncoder().encodeToString(bytes), 0);
        }
        notifyAll();
        return mRevision;
    }

    /** Returns the value of an item as text, or null. */
    synchronized String read(String key) {
        Item item = mItems.get(key);
        return item == null
                ? null
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return new ArrayList<>(mItems.subMap(prefix, prefix + '\uffff').keySet());
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean handle(Http.Message call, String node, Socket socket, OutputStream out)
            throws IOException {
        Fault.Fate fate = mFault.fate(call, node);
        if (fate == Fault.Fate.BUSY) {
            Http.respond(out, "503 Service Unavailable", "", new byte[0]);
            return true;
        }
        if (fate == Fault.Fate.RESET) {
            socket.setSoLinger(true, 0);
            return false;
        }
        if (fate == Fault.Fate.SILENT) {
            pause(30_000);
            return false;
        }
        pause(mDelayMs);
        String path = call.uri().split("\\?")[0];
        Map<String, String> query = query(call.uri());
        Reply reply;
        if (path.equals("/-/kv-watch")) {
            reply = watch(query);
        } else {
            synchronized (this) {
                reply = answer(call, path, query);
            }
        }
        if (fate == Fault.Fate.DONE_UNANSWERED) {
            return false;
        }
        byte[] body = reply.json().getBytes(StandardCharsets.UTF_8);
        Http.respond(out, reply.status(), "Content-Type: application/json\r\n", body);
        return true;
    }

    private record Reply(String status, String json) {}

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark < 0) {
            return query;
        }
        for (String part : uri.substring(mark + 1).split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private Reply answer(Http.Message call, String path, Map<String, String> query) {
        if (path.equals("/-/kv-key")) {
            Item item = mItems.get(query.get("key"));
            return item == null
                    ? new Reply("404 Not Found", "{\"at\":" + mRevision + "}")
                    : new Reply("200 OK", json(query.get("key"), item, true));
        }
        if (path.equals("/-/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        }
        if (path.equals("/-/kv-txn")) {
            return commit(Json.object(call.text()));
        }
        if (path.equals("/-/kv-lease")) {
            long ttl = (Long) Json.object(call.text()).get("ttlMs");
            Lease lease = new Lease();
            lease.mTtlMs = ttl;
            lease.mEndsAtMs = System.currentTimeMillis() + ttl;
            mLeases.put(++mNextLease, lease);
            return new Reply("200 OK", "{\"lease\":" + mNextLease + ",\"ttlMs\":" + ttl + "}");
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return new Reply("404 Not Found", "{}");
        }
        if (path.startsWith("/-/kv-keep/")) {
            lease.mEndsAtMs = System.currentTimeMillis() + lease.mTtlMs;
            return new Reply("200 OK", "{\"ttlMs\":" + lease.mTtlMs + "}");
        }
        endLease(id);
        return new Reply("200 OK", "{}");
    }

    private String json(String key, Item item, boolean at) {
        StringBuilder text = new StringBuilder();
        text.append("{\"key\":").append(Json.write(key)).append(",\"value\":\"");
        text.append(item.value()).append("\",\"revision\":").append(item.revision());
        text.append(",\"created\":").append(item.created());
        text.append(",\"lease\":").append(item.lease());
        return text.append(at ? ",\"at\":" + mRevision : "").append('}').toString();
    }

    private Reply range(String prefix, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (count >= PAGE_ITEMS || count > 0 && items.length() > PAGE_BYTES) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",");
            items.append(json(entry.getKey(), entry.getValue(), false));
        }
        String body = "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"at\":";
        return new Reply("200 OK", body + mRevision + "}");
    }

    @SuppressWarnings("unchecked")
    private Reply commit(Map<String, Object> txn) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) txn.get("expectedRev");
        boolean holds = true;
        List<String> states = new ArrayList<>();
        for (Map<String, Object> row : expected) {
            String key = (String) row.get("key");
            Item item = mItems.get(key);
            holds &= (item == null ? 0 : item.revision()) == (Long) row.get("revision");
            states.add(
                    item == null
                            ? "{\"key\":" + Json.write(key) + ",\"revision\":0}"
                            : json(key, item, false));
        }
        if (!holds) {
            String items = String.join(",", states);
            return new Reply(
                    "412 Precondition Failed",
                    "{\"items\":[" + items + "],\"at\":" + mRevision + "}");
        }
        List<Map<String, Object>> writes = (List<Map<String, Object>>) txn.get("writes");
        List<String> removed = (List<String>) txn.get("remove");
        if (expected.size() + writes.size() + removed.size() > 32) {
            return new Reply("400 Bad Request", "{}");
        }
        for (Map<String, Object> write : writes) {
            long lease = (Long) write.get("lease");
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return new Reply("404 Not Found", "{}");
            }
        }
        mRevision++;
        for (Map<String, Object> write : writes) {
            put((String) write.get("key"), (String) write.get("value"), (Long) write.get("lease"));
        }
        removed.forEach(this::remove);
        notifyAll();
        return new Reply("200 OK", "{\"revision\":" + mRevision + "}");
    }

    private synchronized Reply watch(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        while (true) {
            long now = System.currentTimeMillis();
            while (!mHistory.isEmpty() && mHistory.peek().atMs() < now - HISTORY_MS) {
                mForgotten = mHistory.remove().revision();
            }
            if (after < mForgotten) {
                return new Reply("410 Gone", "{}");
            }
            List<String> events = new ArrayList<>();
            for (Event event : mHistory) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(
                            event.item() == null
                                    ? "{\"key\":"
                                            + Json.write(event.key())
                                            + ",\"revision\":"
                                            + event.revision()
                                            + ",\"deleted\":true}"
                                    : json(event.key(), event.item(), false));
                }
            }
            if (!events.isEmpty() || now >= until) {
                String all = String.join(",", events);
                return new Reply("200 OK", "{\"events\":[" + all + "],\"at\":" + mRevision + "}");
            }
            try {
                wait(Math.max(1, until - now));
            } catch (InterruptedException e) {
                return new Reply("503 Service Unavailable", "{}");
            }
        }
    }

    /** Returns a map for JSON from names and values by turns. */
    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }
}
