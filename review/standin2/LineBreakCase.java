import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Some events of an item's stream have data that begins with a line break. */
final class LineBreakCase {
    private static final int ITEMS = 3;
    private static final int EVENTS = 12;
    private static final long MAX_WAIT_MS = 30_000;
    private static final String SUBMISSION = "2b9f60c4d7e81a35";

    private final Fleet mFleet;
    private final boolean mTrouble;

    private LineBreakCase(Fleet fleet, boolean trouble) {
        mFleet = fleet;
        mTrouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int outcome = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]), 2)) {
            outcome = new LineBreakCase(fleet, trouble).play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(outcome);
    }

    /** Every fourth event begins a paragraph. */
    private String data(String id, int n) {
        String text = "piece " + n + " of " + id;
        return mTrouble && n % 4 == 0 ? "\n" + text : text;
    }

    private int play() throws Exception {
        mFleet.mPlatform.write("op/config", Setup.config(1));
        for (int i = 1; i <= 2; i++) {
            Engine engine = mFleet.addEngine(i, 8);
            engine.mData = this::data;
            engine.mOnRun = id -> mFleet.record("replica " + engine.mId + " runs " + id);
            engine.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.start();
        }
        for (Fleet.Node node : mFleet.mNodes) {
            node.awaitReady(20_000);
        }
        TimeUnit.SECONDS.sleep(3);
        byte[] body = Setup.submission(SUBMISSION, ITEMS, 1_500, 350, 10 * EVENTS);
        String head = Setup.submissionHead(SUBMISSION, 0);
        int status =
                Http.call(mFleet.mNodes.get(0).mFront, "POST /lot/x", head, body, 4_000).status();
        mFleet.record("submission " + SUBMISSION + " items=" + ITEMS + ": " + status);
        if (status != 202) {
            return 2;
        }
        List<?> results = awaitResults();
        if (results.size() < ITEMS) {
            mFleet.record("not all items are listed");
            return 2;
        }
        int wrong = 0;
        for (Object result : results) {
            wrong += isWrong((Map<?, ?>) result) ? 1 : 0;
        }
        String verdict = "done with another text than the replica's: " + wrong + " of " + ITEMS;
        mFleet.record(verdict);
        System.out.println(verdict);
        return wrong > 0 ? 1 : 0;
    }

    private boolean isWrong(Map<?, ?> result) {
        String id = (String) result.get("id");
        StringBuilder sent = new StringBuilder();
        for (int n = 1; n <= EVENTS; n++) {
            sent.append(n == 1 ? "" : "\n").append(data(id, n));
        }
        String output = (String) result.get("output");
        boolean isDone = "done".equals(result.get("state"));
        mFleet.record(
                "item " + id + " is " + result.get("state") + "\n  sent:   " + Json.write("" + sent)
                        + "\n  output: " + Json.write(output));
        return isDone && !output.equals(sent.toString());
    }

    private List<?> awaitResults() throws Exception {
        String head = "Host: " + Fleet.HOST + "\r\nApi-Key: " + Setup.key(0) + "\r\n";
        String start = "GET /-/lots/" + SUBMISSION + "?after=0";
        long until = System.currentTimeMillis() + MAX_WAIT_MS;
        List<?> results = List.of();
        while (results.size() < ITEMS && System.currentTimeMillis() < until) {
            TimeUnit.MILLISECONDS.sleep(500);
            Http.Message answer =
                    Http.call(mFleet.mNodes.get(1).mFront, start, head, new byte[0], 3_000);
            if (answer.status() == 200) {
                results = (List<?>) Json.object(answer.text()).get("results");
            }
        }
        return results;
    }
}
