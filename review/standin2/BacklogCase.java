import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A rolling restart while accepted batch submissions wait: the nodes that take the submissions over
 * hold them in memory without a bound.
 */
final class BacklogCase {
    private static final int NODES = 2;
    private static final int ENGINES = 8;
    private static final int CLIENTS_PER_NODE = 28;
    /** Pause of a client between an answer and its next request. */
    private static final long THINK_MS = 700;

    private static final int SUBMISSIONS = 56;
    private static final int ITEMS = 200;
    private static final int ITEM_BYTES = 15_000;
    private static final int ITEM_TOKENS_IN = 350;
    private static final int ITEM_TOKENS_OUT = 150;
    private static final long STABLE_WINDOW_MS = 3_000;

    /** The most unanswered requests of kept channels that the rule allows. */
    private static final int MAX_UNANSWERED = 3;

    private final Fleet mFleet;
    private final boolean mTrouble;
    private final Map<String, Long> mRanAt = new ConcurrentHashMap<>();
    private final Map<String, Long> mSignalledAt = new ConcurrentHashMap<>();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mCut = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final Map<String, Integer> mOwnEnds = new ConcurrentHashMap<>();
    private final Set<String> mRestarting = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mSequence = new AtomicInteger();
    private volatile boolean mStopping;

    private BacklogCase(Fleet fleet, boolean trouble) {
        mFleet = fleet;
        mTrouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int outcome = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]), NODES)) {
            BacklogCase run = new BacklogCase(fleet, trouble);
            outcome = run.play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(outcome);
    }

    private int play() throws Exception {
        mFleet.mPlatform.write("op/config", Setup.config(1));
        for (int i = 1; i <= ENGINES; i++) {
            Engine engine = mFleet.addEngine(i, 8);
            engine.mFirstMs = 700;
            engine.mOnRun =
                    id -> {
                        mRanAt.put(id, System.currentTimeMillis());
                        mFleet.record("replica " + engine.mId + " runs " + id);
                    };
            engine.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.awaitReady(20_000);
        }
        TimeUnit.SECONDS.sleep(5);
        for (Fleet.Node node : mFleet.mNodes) {
            for (int i = 0; i < CLIENTS_PER_NODE; i++) {
                int client = i;
                daemon(() -> chat(node, client));
            }
            daemon(() -> watch(node));
        }
        if (!submitAll()) {
            return 2;
        }
        if (mTrouble) {
            restartInTurn();
        } else {
            TimeUnit.SECONDS.sleep(36);
        }
        mStopping = true;
        TimeUnit.SECONDS.sleep(1);
        String verdict =
                "served="
                        + mServed.get()
                        + " kept channels closed without an answer after the request was run: "
                        + mUnanswered.get()
                        + " (at most "
                        + MAX_UNANSWERED
                        + "), cut within the answer: "
                        + mCut.get()
                        + ", processes that ended by themselves: "
                        + mOwnEnds;
        mFleet.record(verdict);
        System.out.println(verdict);
        return mUnanswered.get() > MAX_UNANSWERED ? 1 : 0;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Submits the batches one after the other; returns whether all were accepted. */
    private boolean submitAll() throws InterruptedException {
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = "lot" + i;
            int tenant = i % Setup.TENANTS;
            byte[] body =
                    Setup.submission(id, ITEMS, ITEM_BYTES, ITEM_TOKENS_IN, ITEM_TOKENS_OUT);
            boolean accepted = false;
            for (int attempt = 0; attempt < 5 && !accepted; attempt++) {
                Fleet.Node node = mFleet.mNodes.get((i + attempt) % NODES);
                String answer;
                try {
                    String head = Setup.submissionHead(id, tenant);
                    int status = Http.call(node.mFront, "POST /lot/x", head, body, 4_000).status();
                    answer = Integer.toString(status);
                    accepted = status == 202;
                } catch (IOException e) {
                    answer = e.toString();
                }
                mFleet.record(
                        "submission " + id + " bytes=" + body.length + " to " + node.mName + ": "
                                + answer);
            }
            if (!accepted) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return true;
    }

    /** Stops each node by SIGTERM, one at a time, and starts it again. */
    private void restartInTurn() throws Exception {
        for (Fleet.Node node : mFleet.mNodes) {
            if (mUnanswered.get() > MAX_UNANSWERED) {
                // The rule is broken; the rest of the restart shows nothing more.
                break;
            }
            mFleet.record("SIGTERM to " + node.mName);
            mSignalledAt.put(node.mName, System.currentTimeMillis());
            mRestarting.add(node.mName);
            node.signal("TERM");
            node.awaitEnd(9_000);
            mFleet.record(node.mName + " has stopped");
            TimeUnit.MILLISECONDS.sleep(500);
            node.start();
            node.awaitReady(15_000);
            mFleet.record(node.mName + " is ready again");
            mSignalledAt.put(node.mName, System.currentTimeMillis());
            mRestarting.remove(node.mName);
            TimeUnit.MILLISECONDS.sleep(1_300);
        }
        TimeUnit.SECONDS.sleep(6);
    }

    /** Records when a process ends by itself, and starts it again, as the platform does. */
    private void watch(Fleet.Node node) {
        while (!mStopping) {
            pause(20);
            if (node.isAlive() || mRestarting.contains(node.mName)) {
                continue;
            }
            mOwnEnds.merge(node.mName, 1, Integer::sum);
            mFleet.record(node.mName + " ended by itself, exit code " + node.exitCode());
            pause(1_000);
            try {
                node.start();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Returns whether the script has neither stopped nor started the node of late. */
    private boolean isInTouch(Fleet.Node node) {
        long last = mSignalledAt.getOrDefault(node.mName, 0L);
        return !mRestarting.contains(node.mName)
                && System.currentTimeMillis() - last > STABLE_WINDOW_MS;
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request after the other on a kept channel. */
    private void chat(Fleet.Node node, int client) {
        while (!mStopping) {
            try (Socket socket = new Socket()) {
                socket.connect(node.mFront, 1_000);
                socket.setSoTimeout(7_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                for (int number = 0; open && !mStopping; number++) {
                    open = ask(node, client, socket, in, number);
                    pause(THINK_MS);
                }
            } catch (IOException e) {
                pause(200);
            }
        }
    }

    /**
     * Sends a request and reads its answer; returns whether the channel can be used again.
     *
     * @param number number of requests that were answered on the channel before
     */
    private boolean ask(
            Fleet.Node node, int client, Socket socket, InputStream in, int number)
            throws IOException {
        String id = String.format("c%07d", mSequence.incrementAndGet());
        boolean inTouch = isInTouch(node);
        long sentAt = System.currentTimeMillis();
        boolean begun = false;
        try {
            byte[] body = new byte[1_500];
            String head = Setup.chatHead(id, client % Setup.TENANTS, 100);
            Http.send(socket.getOutputStream(), "POST /chat/x", head, body);
            Http.Message answer = Http.readHead(in);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            begun = true;
            if (answer.header("Content-Length") != null) {
                in.readNBytes(Integer.parseInt(answer.header("Content-Length")));
            } else {
                while (Http.readChunk(in).length > 0) {
                    // Reads the whole stream.
                }
            }
            mServed.incrementAndGet();
            mFleet.record("request " + id + " to " + node.mName + ": " + answer.status());
            return !"close".equalsIgnoreCase(answer.header("Connection"));
        } catch (IOException e) {
            Long ranAt = mRanAt.get(id);
            boolean counts = number > 0 && inTouch && isInTouch(node) && ranAt != null;
            if (counts && begun) {
                mCut.incrementAndGet();
            } else if (counts) {
                mUnanswered.incrementAndGet();
            }
            mFleet.record(
                    "request " + id + " to " + node.mName + " sent_ms_ago="
                            + (System.currentTimeMillis() - sentAt) + " run=" + (ranAt != null)
                            + " in_touch=" + (inTouch && isInTouch(node)) + " kept=" + (number > 0)
                            + " answer_begun="
                            + begun + ": " + e.getMessage());
            throw e;
        }
    }
}
