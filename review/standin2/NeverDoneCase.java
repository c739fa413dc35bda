import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A batch submission has one item that can never be done. The node that last wrote to the store
 * under a condition, which is the one that runs the submission, is killed some seconds after it
 * took the submission over.
 */
final class NeverDoneCase {
    private static final int NODES = 4;
    private static final int ENGINES = 3;
    private static final int ITEMS = 6;
    private static final int ITEM_TOKENS_OUT = 1_690;

    /** Answers of 422 after which the rule allows no further run from a machine in touch. */
    private static final int MAX_ANSWERS = 3;

    private static final int KILLS = 3;
    private static final long DOWN_MS = 3_500;

    /** Time from the answer of 422 to the kill. */
    private static final long KILL_DELAY_MS = 1_000;

    private static final long STABLE_WINDOW_MS = 3_000;
    private static final String SUBMISSION = "5d20b6e1a94c7f03";
    private static final String ITEM = Setup.item(SUBMISSION, 0);
    private static final String OWNER_KEY = "sesamepin/control/owner/" + SUBMISSION;

    private final Fleet mFleet;
    private final boolean mTrouble;
    private final AtomicInteger mAnswers = new AtomicInteger();
    private final AtomicInteger mExcess = new AtomicInteger();
    private final Map<String, Long> mDisturbedAt = new ConcurrentHashMap<>();

    private NeverDoneCase(Fleet fleet, boolean trouble) {
        mFleet = fleet;
        mTrouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int outcome = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]), NODES)) {
            outcome = new NeverDoneCase(fleet, trouble).play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(outcome);
    }

    private int play() throws Exception {
        mFleet.mPlatform.write("op/config", Setup.config(1));
        for (int i = 1; i <= ENGINES; i++) {
            Engine engine = mFleet.addEngine(i, 8);
            engine.mEventMs = 100;
            engine.mNeverDone = ITEM::equals;
            engine.mOnRun = id -> recordRun(engine, id);
            engine.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.awaitReady(20_000);
        }
        TimeUnit.SECONDS.sleep(6);
        byte[] body = Setup.submission(SUBMISSION, ITEMS, 1_500, 350, ITEM_TOKENS_OUT);
        String head = Setup.submissionHead(SUBMISSION, 0);
        int status =
                Http.call(mFleet.mNodes.get(0).mFront, "POST /lot/x", head, body, 4_000).status();
        mFleet.record("submission " + SUBMISSION + " items=" + ITEMS + ": " + status);
        if (status != 202) {
            return 2;
        }
        for (int kill = 1; mTrouble && kill <= KILLS; kill++) {
            if (!awaitAnswer(kill)) {
                mFleet.record("no run of the item after kill " + (kill - 1));
                return 0;
            }
            TimeUnit.MILLISECONDS.sleep(KILL_DELAY_MS);
            killOwner(kill);
        }
        TimeUnit.SECONDS.sleep(12);
        String listed = readResults();
        String verdict =
                "answers of 422: "
                        + mAnswers.get()
                        + " (at most "
                        + MAX_ANSWERS
                        + "); runs beyond, from a machine in touch: "
                        + mExcess.get()
                        + "; results: "
                        + listed;
        mFleet.record(verdict);
        System.out.println(verdict);
        return mExcess.get() > 0 ? 1 : 0;
    }

    private void recordRun(Engine engine, String id) {
        if (!id.equals(ITEM)) {
            return;
        }
        int answers = mAnswers.incrementAndGet();
        String owner = owner();
        boolean inTouch = isInTouch(owner);
        mFleet.record(
                "run " + answers + " of item " + id + " at replica " + engine.mId + ", answer 422,"
                        + " sent by " + owner + ", in_touch=" + inTouch);
        if (answers > MAX_ANSWERS && inTouch) {
            mExcess.incrementAndGet();
        }
    }

    /** Returns the node that the store names as the one that runs the submission. */
    private String owner() {
        String value = mFleet.mPlatform.read(OWNER_KEY);
        return value == null ? "-" : String.valueOf(Json.object(value).get("host"));
    }

    private boolean isInTouch(String node) {
        long last = mDisturbedAt.getOrDefault(node, 0L);
        return !node.equals("-") && last + STABLE_WINDOW_MS < System.currentTimeMillis();
    }

    private boolean awaitAnswer(int number) throws InterruptedException {
        long until = System.currentTimeMillis() + 15_000;
        while (mAnswers.get() < number && System.currentTimeMillis() < until) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return mAnswers.get() >= number;
    }

    private void killOwner(int number) throws Exception {
        String owner = owner();
        for (Fleet.Node node : mFleet.mNodes) {
            if (!node.mName.equals(owner)) {
                continue;
            }
            mDisturbedAt.put(owner, Long.MAX_VALUE / 2);
            node.kill();
            mFleet.record("kill " + number + ": SIGKILL to " + owner);
            Thread restart = new Thread(() -> restart(node));
            restart.setDaemon(true);
            restart.start();
        }
    }

    private void restart(Fleet.Node node) {
        try {
            TimeUnit.MILLISECONDS.sleep(DOWN_MS);
            node.start();
            mDisturbedAt.put(node.mName, System.currentTimeMillis());
            mFleet.record(node.mName + " is started again");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private String readResults() throws Exception {
        String head = "Host: " + Fleet.HOST + "\r\nApi-Key: " + Setup.key(0) + "\r\n";
        String start = "GET /-/lots/" + SUBMISSION + "?after=0";
        for (Fleet.Node node : mFleet.mNodes) {
            if (!node.isAlive()) {
                continue;
            }
            Http.Message answer = Http.call(node.mFront, start, head, new byte[0], 3_000);
            if (answer.status() == 200) {
                List<?> results = (List<?>) Json.object(answer.text()).get("results");
                StringBuilder states = new StringBuilder();
                for (Object result : results) {
                    Map<?, ?> entry = (Map<?, ?>) result;
                    states.append(entry.get("id")).append('=').append(entry.get("state"));
                    states.append(' ');
                }
                return states.toString();
            }
        }
        return "none";
    }
}
