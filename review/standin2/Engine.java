import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A model engine: streams events, resumes them, refuses when full, and registers itself. */
final class Engine {
    private static final int TOKENS_PER_EVENT = 10;
    private static final long HEARTBEAT_MS = 1_200;

    /** A request that began to run. */
    record Run(long atMs, String id, String path, String resumedAfter, String tenant) {}

    final String mId;
    final String mService;
    final InetSocketAddress mAddress;
    final List<Run> mRuns = Collections.synchronizedList(new ArrayList<>());
    final AtomicInteger mRunning = new AtomicInteger();
    final AtomicInteger mWaiting = new AtomicInteger();
    private final Platform mPlatform;
    /** Tells which requests can never be done. */
    volatile Predicate<String> mNeverDone = id -> false;

    /** Returns the data of the events; each line of it is a data line of its event. */
    volatile EventData mData = Engine::data;

    private final String mZone;
    private final int mSlots;
    private final int mQueue;
    private final Semaphore mFree;
    /** Version of its software. */
    volatile String mVersion = "v1";

    volatile long mEventMs = 20;

    /** Time from the begin of a run to its first event, less the time of an event. */
    volatile long mFirstMs;

    /** Learns the id of each request that begins to run. */
    volatile Consumer<String> mOnRun = id -> {};
    private volatile Http.Server mServer;
    private long mBorn;

    Engine(Platform platform, String id, String service, String zone, InetSocketAddress address,
            int slots) {
        mPlatform = platform;
        mId = id;
        mService = service;
        mZone = zone;
        mAddress = address;
        mSlots = slots;
        mQueue = 24;
        mFree = new Semaphore(slots, true);
    }

    /** Starts the engine and registers it. */
    void start() throws IOException {
        mBorn = System.currentTimeMillis();
        mServer = new Http.Server(mAddress, this::handle);
        register("ready");
    }

    void register(String state) {
        mPlatform.write(
                "servers/" + mId,
                Json.write(
                        Platform.map(
                                "service", mService,
                                "address",
                                        mAddress.getAddress().getHostAddress()
                                                + ":"
                                                + mAddress.getPort(),
                                "zone", mZone,
                                "version", mVersion,
                                "capacity", mSlots,
                                "state", state,
                                "coldLeftMs", 0,
                                "stage", "both",
                                "models",
                                        List.of(
                                                Platform.map(
                                                        "name",
                                                        "m",
                                                        "version",
                                                        1,
                                                        "adapters",
                                                        List.of())),
                                "sequence", 1,
                                "born", mBorn)));
    }

    /** Ends the engine as a crash does; its entry goes after three heartbeats of silence. */
    void crash() throws IOException {
        Http.Server server = mServer;
        mServer = null;
        server.reset();
        Thread expiry =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.MILLISECONDS.sleep(3 * HEARTBEAT_MS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            if (mServer == null) {
                                mPlatform.write("servers/" + mId, null);
                            }
                        });
        expiry.setDaemon(true);
        expiry.start();
    }

    boolean isUp() {
        return mServer != null;
    }

    private String load() {
        return "Server-Load: " + mRunning.get() + "," + mWaiting.get() + "," + mSlots + "\r\n";
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out)
            throws IOException {
        if (request.method().equals("GET")) {
            String head = "Instance-Id: " + mId + "\r\n" + load();
            Http.respond(out, "200 OK", head, new byte[0]);
            return true;
        }
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(mId)) {
            String head = "Instance-Id: " + mId + "\r\n";
            Http.respond(out, "421 Misdirected Request", head, new byte[0]);
            return true;
        }
        String id = request.header("Request-Id");
        String head = "Request-Id: " + id + "\r\n" + load();
        if (mWaiting.incrementAndGet() > mQueue && mFree.availablePermits() == 0) {
            mWaiting.decrementAndGet();
            Http.respond(out, "503 Service Unavailable", head + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        long deadline = Long.parseLong(request.header("Deadline-Ms"));
        boolean admitted = false;
        try {
            admitted = mFree.tryAcquire(deadline, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mWaiting.decrementAndGet();
        }
        if (!admitted) {
            Http.respond(out, "503 Service Unavailable", head + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        mRunning.incrementAndGet();
        try {
            if (mNeverDone.test(id)) {
                refuseForGood(request, out, head);
                return true;
            }
            stream(request, out, head);
            return true;
        } finally {
            mRunning.decrementAndGet();
            mFree.release();
        }
    }

    /** Answers 422: the request was run, and can never be done. */
    private void refuseForGood(Http.Message request, OutputStream out, String head)
            throws IOException {
        String id = request.header("Request-Id");
        mOnRun.accept(id);
        String signed = head + "Response-Signature: " + signature(id) + "\r\n";
        Http.respond(out, "422 Unprocessable Content", signed, new byte[0]);
    }

    private void stream(Http.Message request, OutputStream out, String head) throws IOException {
        String id = request.header("Request-Id");
        String after = request.header("Last-Event-Id");
        String usage = request.header("Token-Usage");
        int tokens = Integer.parseInt(usage.split(",")[1].strip());
        int events = Math.max(1, tokens / TOKENS_PER_EVENT);
        mOnRun.accept(id);
        mRuns.add(
                new Run(
                        System.currentTimeMillis(),
                        id,
                        request.uri(),
                        after,
                        request.header("Tenant")));
        String start =
                "HTTP/1.1 200 OK\r\n"
                        + head
                        + "Content-Type: text/event-stream\r\nResponse-Signature: "
                        + signature(id)
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(start.getBytes(StandardCharsets.ISO_8859_1));
        sleep(mFirstMs);
        for (int n = after == null ? 1 : Integer.parseInt(after) + 1; n <= events; n++) {
            sleep(mEventMs);
            StringBuilder event = new StringBuilder("id: " + n + "\n");
            for (String line : mData.of(id, n).split("\n", -1)) {
                event.append("data: ").append(line).append('\n');
            }
            event.append('\n');
            out.write(
                    (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String signature(String id) {
        return "s1.0.0.0.0." + Integer.toHexString(id.hashCode());
    }

    /** The data of the events of a request, which is the same at each engine. */
    interface EventData {
        String of(String id, int n);
    }

    /** Returns the data of event {@code n} of a request; the same at each engine. */
    static String data(String id, int n) {
        return "piece " + n + " of " + id;
    }
}
