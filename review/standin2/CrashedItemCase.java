import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Replicas crash one after the other while they run one item of an accepted batch submission. The
 * crashes end; then everything is calm.
 */
final class CrashedItemCase {
    private static final int NODES = 3;
    private static final int ENGINES = 6;
    private static final int SLOTS = 8;
    private static final int ITEMS = 4;

    /** Output tokens of an item: 169 events, as on the sheet. */
    private static final int ITEM_TOKENS_OUT = 1_690;

    private static final int CRASHES = 7;

    /** Time for which a crashed replica is down. */
    private static final long DOWN_MS = 4_500;

    /** Time from the begin of the item's run to the crash of its replica. */
    private static final long CRASH_DELAY_MS = 30;

    /** Time after the last crash at which the item has to be listed; the rule needs 20 s. */
    private static final long CALM_MS = 26_000;

    private static final long MAX_CRASHING_MS = 60_000;
    private static final String SUBMISSION = "7c41e09b52d6a3f8";
    private static final String ITEM = Setup.item(SUBMISSION, 0);

    private final Fleet mFleet;
    private final boolean mTrouble;
    private volatile boolean mStopping;

    private CrashedItemCase(Fleet fleet, boolean trouble) {
        mFleet = fleet;
        mTrouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int outcome = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]), NODES)) {
            outcome = new CrashedItemCase(fleet, trouble).play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(outcome);
    }

    private int play() throws Exception {
        mFleet.mPlatform.write("op/config", Setup.config(1));
        for (int i = 1; i <= ENGINES; i++) {
            Engine engine = mFleet.addEngine(i, SLOTS);
            engine.mOnRun = id -> recordRun(engine, id);
            engine.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.awaitReady(20_000);
        }
        TimeUnit.SECONDS.sleep(5);
        for (int i = 0; i < NODES; i++) {
            chat(mFleet.mNodes.get(i), i);
        }
        TimeUnit.SECONDS.sleep(2);
        byte[] body = Setup.submission(SUBMISSION, ITEMS, 1_500, 350, ITEM_TOKENS_OUT);
        String head = Setup.submissionHead(SUBMISSION, 0);
        int status =
                Http.call(mFleet.mNodes.get(0).mFront, "POST /lot/x", head, body, 4_000).status();
        mFleet.record("submission " + SUBMISSION + " items=" + ITEMS + ": " + status);
        if (status != 202) {
            return 2;
        }
        int crashes = mTrouble ? crashUnderItem() : 0;
        if (mTrouble && crashes < CRASHES) {
            mFleet.record("only " + crashes + " crashes could be played");
            return 2;
        }
        TimeUnit.MILLISECONDS.sleep(CALM_MS);
        mStopping = true;
        Map<String, String> listed = readResults();
        String state = listed.get(ITEM);
        long idle = mFleet.mEngines.stream().filter(e -> e.mRunning.get() == 0).count();
        String verdict =
                "item "
                        + ITEM
                        + " is "
                        + (state == null ? "not listed" : "listed as " + state)
                        + " after "
                        + CALM_MS
                        + " ms of calm; listed items: "
                        + listed
                        + "; replicas up: "
                        + mFleet.mEngines.stream().filter(Engine::isUp).count()
                        + ", idle: "
                        + idle;
        mFleet.record(verdict);
        System.out.println(verdict);
        return state == null ? 1 : 0;
    }

    private volatile Engine mItemEngine;

    private void recordRun(Engine engine, String id) {
        if (id.startsWith(SUBMISSION)) {
            mFleet.record("replica " + engine.mId + " runs item " + id);
        }
        if (id.equals(ITEM)) {
            mItemEngine = engine;
        }
    }

    /** Crashes the replica at which the item runs, again and again; returns how often. */
    private int crashUnderItem() throws Exception {
        long until = System.currentTimeMillis() + MAX_CRASHING_MS;
        int crashes = 0;
        while (crashes < CRASHES && System.currentTimeMillis() < until) {
            Engine engine = mItemEngine;
            if (engine == null) {
                TimeUnit.MILLISECONDS.sleep(10);
                continue;
            }
            mItemEngine = null;
            TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MS);
            engine.crash();
            crashes++;
            mFleet.record("crash " + crashes + ": replica " + engine.mId + " is down");
            restartLater(engine);
        }
        return crashes;
    }

    private void restartLater(Engine engine) {
        daemon(
                () -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(DOWN_MS);
                        engine.start();
                        mFleet.record("replica " + engine.mId + " is up again");
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends streams through a node, about ten a second, so that the replicas are in use. */
    private void chat(Fleet.Node node, int tenant) {
        daemon(
                () -> {
                    for (int n = 0; !mStopping; n++) {
                        String id = node.mName + "-" + n;
                        daemon(() -> ask(node, tenant, id));
                        try {
                            TimeUnit.MILLISECONDS.sleep(100);
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                });
    }

    private static void ask(Fleet.Node node, int tenant, String id) {
        try {
            String head = Setup.chatHead(id, tenant, 250) + "Connection: close\r\n";
            Http.call(node.mFront, "POST /chat/x", head, new byte[1_500], 6_000);
        } catch (IOException e) {
            // Its replica has crashed, or the node refused it.
        }
    }

    /** Reads all results at each node; returns the states of the listed items. */
    private Map<String, String> readResults() throws IOException {
        Map<String, String> states = new TreeMap<>();
        Set<String> seen = new HashSet<>();
        for (Fleet.Node node : mFleet.mNodes) {
            String head =
                    "Host: " + Fleet.HOST + "\r\nApi-Key: " + Setup.key(0) + "\r\nWait-Ms: 0\r\n";
            String start = "GET /-/lots/" + SUBMISSION + "?after=0";
            Http.Message answer = Http.call(node.mFront, start, head, new byte[0], 3_000);
            mFleet.record(node.mName + " answers " + answer.status() + " " + shorten(answer));
            if (answer.status() != 200) {
                continue;
            }
            Object results = Json.object(answer.text()).get("results");
            for (Object result : (List<?>) results) {
                Map<?, ?> entry = (Map<?, ?>) result;
                states.put((String) entry.get("id"), (String) entry.get("state"));
                seen.add((String) entry.get("id"));
            }
        }
        return states;
    }

    private static String shorten(Http.Message answer) {
        String text = answer.text();
        return text.length() > 200 ? text.substring(0, 200) + "..." : text;
    }
}
