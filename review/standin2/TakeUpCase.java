import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node stands still while replicas of a newer software version are added. Its streams fall silent,
 * and their callers take them up at another node.
 */
final class TakeUpCase {
    private static final int NODES = 3;
    private static final int OLD_REPLICAS = 4;
    private static final int NEW_REPLICAS = 2;
    private static final int STREAMS = 20;
    private static final int EVENTS = 25;
    private static final long EVENT_MS = 150;
    private static final long BETWEEN_STREAMS_MS = 40;

    /** Time for which the node stands still, and when the first new replica registers in it. */
    private static final long FREEZE_MS = 3_200;

    private static final long NEW_VERSION_AFTER_MS = 300;

    /** Gap after which a caller abandons a stream. */
    private static final int MAX_GAP_MS = 2_000;

    private static final int BUDGET_MS = 5_000;

    /** Streams taken up from which on the rule holds. */
    private static final int MIN_TAKE_UPS = 12;

    private final Fleet mFleet;
    private final boolean mTrouble;
    private final AtomicInteger mTakenUp = new AtomicInteger();
    private final AtomicInteger mWentOn = new AtomicInteger();
    private final AtomicInteger mNew = new AtomicInteger();
    private final AtomicInteger mBegan = new AtomicInteger();

    private TakeUpCase(Fleet fleet, boolean trouble) {
        mFleet = fleet;
        mTrouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int outcome = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]), NODES)) {
            outcome = new TakeUpCase(fleet, trouble).play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(outcome);
    }

    private int play() throws Exception {
        mFleet.mPlatform.write("op/config", Setup.config(1));
        List<Engine> newer = new ArrayList<>();
        for (int i = 1; i <= OLD_REPLICAS + NEW_REPLICAS; i++) {
            Engine engine = mFleet.addEngine(i, 8);
            engine.mEventMs = EVENT_MS;
            engine.mOnRun = id -> mFleet.record("replica " + engine.mId + " runs " + id);
            if (i <= OLD_REPLICAS) {
                engine.start();
            } else {
                engine.mVersion = "v1.1";
                newer.add(engine);
            }
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.awaitReady(20_000);
        }
        TimeUnit.SECONDS.sleep(6);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "first-" + i;
            callers.add(start(() -> callAndTakeUp(id)));
            TimeUnit.MILLISECONDS.sleep(BETWEEN_STREAMS_MS);
        }
        TimeUnit.MILLISECONDS.sleep(300);
        if (mTrouble) {
            mFleet.record("SIGSTOP to front-1");
            mFleet.mNodes.get(0).signal("STOP");
        }
        TimeUnit.MILLISECONDS.sleep(NEW_VERSION_AFTER_MS);
        for (Engine engine : newer) {
            engine.start();
            mFleet.record("replica " + engine.mId + " of version v1.1 is there");
        }
        TimeUnit.MILLISECONDS.sleep(1_000);
        for (int i = 0; i < STREAMS; i++) {
            String id = "new-" + i;
            callers.add(start(() -> callAnew(id)));
            TimeUnit.MILLISECONDS.sleep(BETWEEN_STREAMS_MS);
        }
        TimeUnit.MILLISECONDS.sleep(FREEZE_MS - 1_000 - NEW_VERSION_AFTER_MS - 800);
        if (mTrouble) {
            mFleet.mNodes.get(0).signal("CONT");
            mFleet.record("SIGCONT to front-1");
        }
        for (Thread caller : callers) {
            caller.join(8_000);
        }
        double goOn = (double) mWentOn.get() / Math.max(1, mTakenUp.get());
        double begin = (double) mBegan.get() / Math.max(1, mNew.get());
        String verdict =
                String.format(
                        "streams taken up: %d, of which went on: %d (%.2f); new streams: %d, of"
                                + " which began: %d (%.2f)",
                        mTakenUp.get(), mWentOn.get(), goOn, mNew.get(), mBegan.get(), begin);
        mFleet.record(verdict);
        System.out.println(verdict);
        if (mTakenUp.get() < MIN_TAKE_UPS) {
            return 2;
        }
        return goOn < begin / 2 ? 1 : 0;
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Begins a stream at the first node; takes it up at the second when it falls silent. */
    private void callAndTakeUp(String id) {
        long startedAt = System.currentTimeMillis();
        int last = read(mFleet.mNodes.get(0), id, "", startedAt);
        if (last <= 0 || last >= EVENTS) {
            return;
        }
        mTakenUp.incrementAndGet();
        String again = "again-" + id;
        String resumed = "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n";
        int reached = read(mFleet.mNodes.get(1), again, resumed, startedAt);
        if (reached > last) {
            mWentOn.incrementAndGet();
        }
    }

    private void callAnew(String id) {
        mNew.incrementAndGet();
        if (read(mFleet.mNodes.get(1), id, "", System.currentTimeMillis()) > 0) {
            mBegan.incrementAndGet();
        }
    }

    /**
     * Sends a request and reads its events; returns the id of the last one, 0 for none. Without the
     * disruption a stream of the first node is broken off by its caller after about the same time.
     */
    private int read(Fleet.Node node, String id, String headers, long startedAt) {
        int last = 0;
        String end = "complete";
        long left = startedAt + BUDGET_MS - System.currentTimeMillis();
        boolean breaksOff = !mTrouble && id.startsWith("first-");
        try (Socket socket = new Socket()) {
            socket.connect(node.mFront, 1_000);
            socket.setSoTimeout(MAX_GAP_MS);
            String head =
                    Setup.chatHead(id, 0, 10 * EVENTS)
                            .replace("Deadline-Ms: 5000", "Deadline-Ms: " + left);
            Http.send(socket.getOutputStream(), "POST /again/x", head + headers, new byte[1_500]);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer == null || answer.status() != 200) {
                end = "status " + (answer == null ? "-" : answer.status());
            } else {
                for (byte[] c = Http.readChunk(in); c.length > 0; c = Http.readChunk(in)) {
                    String event = new String(c, StandardCharsets.UTF_8);
                    int at = event.lastIndexOf("id: ");
                    last = Integer.parseInt(event.substring(at + 4, event.indexOf('\n', at)));
                    if (breaksOff && System.currentTimeMillis() - startedAt > 2_800) {
                        end = "broken off by the caller";
                        break;
                    }
                }
            }
        } catch (IOException e) {
            end = e.getMessage();
        }
        mFleet.record(
                "request " + id + " to " + node.mName + " " + headers.replace("\r\n", " ")
                        + "deadline_ms=" + left + ": last event " + last + ", " + end);
        return last;
    }
}
