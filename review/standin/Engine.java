import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a model replica: serves streams as PROTOCOL.md describes them. */
final class Engine {
    private static final int HEARTBEAT_MS = 1_200;

    final String id;
    /** Number of events of a stream, time between two events, and the text of each event. */
    volatile int events = 20;
    volatile int eventMs = 5;
    volatile String text = "token";
    /** When set, runs are not recorded one by one. */
    volatile boolean quiet;
    final AtomicInteger running = new AtomicInteger();
    /** Complete runs by request id. */
    final Map<String, Integer> completed = new ConcurrentHashMap<>();
    /** Started runs by request id. */
    final Map<String, Integer> started = new ConcurrentHashMap<>();
    private final Store mStore;
    private final Record mRecord;
    private final String mService;
    private final int mCapacity;
    private final long mBorn = System.currentTimeMillis();
    private final Http.Server mServer;
    private int mSequence;

    Engine(Store store, Record record, String id, String service, int capacity) throws IOException {
        mStore = store;
        mRecord = record;
        this.id = id;
        mService = service;
        mCapacity = capacity;
        mServer = Http.serve(this::handle);
        Http.start(() -> {
            while (true) {
                register();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    private void register() {
        mStore.put("servers/" + id, new JsonObject()
                .put("service", mService).put("address", Http.IP + ':' + mServer.port()).put("zone", "z-a")
                .put("version", 1).put("capacity", mCapacity).put("state", "ready").put("coldLeftMs", 0)
                .put("sequence", ++mSequence).put("born", mBorn).encode());
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        if (request.path.equals("/health")) {
            Http.respond(socket, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String requestId = request.headers.get("Request-Id");
        String expected = request.headers.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(socket, 421, "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n", new byte[0]);
            return true;
        }
        running.incrementAndGet();
        started.merge(requestId, 1, Integer::sum);
        String resumeAfter = request.headers.get("Last-Event-Id");
        if (!quiet) {
            mRecord.line(id, "runs " + requestId + (resumeAfter == null ? "" : " after event " + resumeAfter));
        }
        try {
            stream(requestId, resumeAfter == null ? 0 : Integer.parseInt(resumeAfter), socket);
            completed.merge(requestId, 1, Integer::sum);
        } catch (IOException e) {
            mRecord.line(id, "drops " + requestId + ": its channel closed");
            throw e;
        } finally {
            running.decrementAndGet();
        }
        return true;
    }

    private String head(String requestId) {
        return "Request-Id: " + requestId + "\r\nResponse-Signature: sig-" + requestId + "\r\nServer-Load: "
                + running.get() + ",0," + mCapacity + "\r\n";
    }

    private void stream(String requestId, int after, Socket socket) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\n" + head(requestId)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        for (int n = after + 1; n <= events; n++) {
            if (eventMs > 0) {
                Thread.sleep(eventMs);
            }
            byte[] event = ("id: " + n + "\ndata: " + text + "\n\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.write(event);
            out.write("\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Returns the output that a complete item has. */
    String output() {
        return String.join("\n", java.util.Collections.nCopies(events, text));
    }
}
