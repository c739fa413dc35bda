import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three replicas of five send a few of their answers a second time, late; does a request of a route
 * with one attempt run at more than one replica?
 */
final class ExtraAnswers {
    private static final int CLIENTS = 72;
    private static final int REPLICAS = 5;
    private static final int FAULTY = 3;
    private static final int SLOTS = 8;
    private static final int QUEUE = 2;
    private static final int WORK_MS = 30;
    private static final double EXTRA_FRACTION = 0.03;
    private static final double TROUBLE_AT = 3;
    private static final double TROUBLE_S = 5;
    private static final int ALLOWED = 3;

    /** Replicas that ran a request, by its id. */
    private static final Map<String, Set<String>> RUNS = new ConcurrentHashMap<>();
    private static volatile boolean sGarbling;

    /** A replica that refuses what exceeds its slots and its short queue. */
    private static final class Replica {
        private final String mId;
        private final boolean mFaulty;
        private final Record mRecord;
        private final Http.Server mServer;
        private final AtomicInteger mInside = new AtomicInteger();
        private final Map<Socket, String> mExtras = new ConcurrentHashMap<>();
        final AtomicInteger extrasSent = new AtomicInteger();

        Replica(Store store, Record record, String id, boolean faulty) throws IOException {
            mId = id;
            mFaulty = faulty;
            mRecord = record;
            mServer = Http.serve(this::handle);
            long born = System.currentTimeMillis();
            Http.start(() -> {
                for (int sequence = 1; ; sequence++) {
                    store.put("servers/" + id, new JsonObject().put("service", "app")
                            .put("address", Http.IP + ':' + mServer.port()).put("zone", "z-a").put("version", 1)
                            .put("capacity", SLOTS).put("state", "ready").put("coldLeftMs", 0)
                            .put("sequence", sequence).put("born", born).encode());
                    Thread.sleep(1_200);
                }
            });
        }

        private boolean handle(Http.Message request, Socket socket) throws Exception {
            String requestId = request.headers.get("Request-Id");
            String extraOf = mExtras.remove(socket);
            if (extraOf != null) {
                extrasSent.incrementAndGet();
                mRecord.line(mId, "answers " + extraOf + " a second time (503, Not-Executed), then works on " + requestId);
                refuse(extraOf, socket);
            }
            if (mInside.incrementAndGet() > SLOTS + QUEUE) {
                mInside.decrementAndGet();
                refuse(requestId, socket);
                if (sGarbling && mFaulty && ThreadLocalRandom.current().nextDouble() < EXTRA_FRACTION) {
                    mExtras.put(socket, requestId);
                }
                return true;
            }
            try {
                RUNS.computeIfAbsent(requestId, id -> ConcurrentHashMap.newKeySet()).add(mId);
                if (extraOf != null) {
                    mRecord.line(mId, "runs " + requestId);
                }
                Thread.sleep(WORK_MS);
                Http.respond(socket, 200, "Request-Id: " + requestId + "\r\nResponse-Signature: sig-" + requestId + "\r\n",
                        ("answer of " + requestId).getBytes(StandardCharsets.UTF_8));
            } finally {
                mInside.decrementAndGet();
            }
            return true;
        }

        private void refuse(String requestId, Socket socket) throws IOException {
            Http.respond(socket, 503, "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n", new byte[0]);
        }
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store(record);
        Fleet.writeConfig(store);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new Replica(store, record, "i-app-" + i, i < FAULTY));
        }
        Fleet fleet = new Fleet(store, record, 2);
        fleet.awaitReady();
        double start = record.seconds();
        CountDownLatch left = new CountDownLatch(CLIENTS);
        Map<String, Integer> outcomes = Collections.synchronizedMap(new java.util.TreeMap<>());
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Http.start(() -> {
                for (int i = 0; record.seconds() - start < TROUBLE_AT + TROUBLE_S + 3; i++) {
                    String id = "c" + client + "-" + i;
                    String outcome;
                    try {
                        Http.Message answer = Http.call(fleet.nodes.get(client % 2).front, "POST", "/plain/x",
                                Fleet.headers(id, 1_500), "{}".getBytes(StandardCharsets.UTF_8), 4_000);
                        outcome = "status " + answer.status;
                    } catch (IOException e) {
                        outcome = "no answer: " + e.getMessage();
                    }
                    outcomes.merge(outcome, 1, Integer::sum);
                    if (RUNS.getOrDefault(id, Set.of()).size() > 1) {
                        record.line("client", id + " ran at " + RUNS.get(id) + ", " + outcome);
                    }
                    Thread.sleep(10);
                }
                left.countDown();
            });
        }
        Thread.sleep((long) (TROUBLE_AT * 1_000));
        sGarbling = trouble;
        Thread.sleep((long) (TROUBLE_S * 1_000));
        sGarbling = false;
        left.await(20, TimeUnit.SECONDS);
        long twice = RUNS.values().stream().filter(set -> set.size() > 1).count();
        int extras = replicas.stream().mapToInt(replica -> replica.extrasSent.get()).sum();
        record.line("verdict", "requests that ran at more than one replica: " + twice + " (" + ALLOWED
                + " are allowed), extra answers " + extras + ", requests " + RUNS.size() + ", " + outcomes);
        fleet.endAll();
        System.exit(twice > ALLOWED ? 1 : 0);
    }
}
