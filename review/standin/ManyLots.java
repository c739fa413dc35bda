import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A burst of large batch submissions is done and then read at all nodes; do the nodes live? */
final class ManyLots {
    private static final int ITEMS = 200;
    private static final int EVENTS = 188;
    private static final String TEXT = "Wind from the north, five, gusts of six until noon; the bay is safe for class A.";
    private static final int LOTS_WITHOUT_BURST = 11;
    private static final int LOTS = 60;
    private static final int SUBMIT_MS = 3_000;
    private static final double MAX_RUN_S = 60;
    private static final int READ_TRIES = 8;
    private static final int MAX_UNREAD = 2;
    private static final int MAX_FAILED_AT_NODE = 3;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int lots = trouble ? LOTS : LOTS_WITHOUT_BURST;
        Record record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store(record);
        Fleet.writeConfig(store);
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Engine engine = new Engine(store, record, "i-model-" + i, "model", 8);
            engine.events = EVENTS;
            engine.eventMs = 0;
            engine.text = TEXT;
            engine.quiet = true;
            engines.add(engine);
        }
        Fleet fleet = new Fleet(store, record, 2);
        fleet.awaitReady();
        double start = record.seconds();
        List<LotReader> readers = new ArrayList<>();
        CountDownLatch left = new CountDownLatch(lots);
        for (int i = 0; i < lots; i++) {
            int number = i;
            Http.start(() -> {
                try {
                    submit(fleet, record, number, readers);
                } finally {
                    left.countDown();
                }
            });
            Thread.sleep(SUBMIT_MS / lots);
        }
        left.await(30, TimeUnit.SECONDS);
        awaitRuns(record, engines, readers.size() * ITEMS, start);
        for (Fleet.Node node : fleet.nodes) {
            int failed = 0;
            for (int i = 0; i < readers.size() && failed < MAX_FAILED_AT_NODE; i++) {
                failed += readAll(new LotReader(readers.get(i).id(), record), List.of(node), 1) ? 0 : 1;
            }
        }
        record.line("client", "reads all batch submissions once more, again after each failure");
        int unread = 0;
        Collections.reverse(readers);
        for (LotReader reader : readers) {
            if (unread < MAX_UNREAD && !readAll(reader, fleet.nodes, READ_TRIES)) {
                unread++;
                record.line("client", reader.id() + " can't be read at any node");
            }
        }
        int dead = 0;
        int hung = 0;
        for (Fleet.Node node : fleet.nodes) {
            dead += node.process.isAlive() ? 0 : 1;
            hung += Fleet.isReady(node, 3_000) ? 0 : 1;
        }
        record.line("verdict", "accepted " + readers.size() + " of " + lots + ", can't be read " + unread + ", ended " + dead + ", not ready " + hung);
        fleet.endAll();
        if (readers.size() < lots) {
            System.exit(2);
        }
        System.exit(dead > 0 || hung > 0 || unread > 0 ? 1 : 0);
    }

    /** Submits a batch submission, at the other node after a failure. */
    private static void submit(Fleet fleet, Record record, int number, List<LotReader> readers) throws Exception {
        String lot = String.format("%016x", 0xd000 + number);
        byte[] bytes = Fleet.lot(lot, ITEMS).toBuffer().getBytes();
        for (int attempt = 0; attempt < 5; attempt++) {
            String outcome;
            try {
                Fleet.Node node = fleet.nodes.get((number + attempt) % 2);
                int status = Http.call(node.front, "POST", "/lots/" + lot, Fleet.headers(lot, 4_000), bytes, 5_000).status;
                outcome = Integer.toString(status);
            } catch (IOException e) {
                outcome = "no answer: " + e.getMessage();
            }
            record.line("client", "submits " + lot + ": " + outcome);
            if (outcome.equals("202")) {
                synchronized (readers) {
                    readers.add(new LotReader(lot, record));
                }
                return;
            }
            Thread.sleep(500);
        }
    }

    /** Waits until the replicas have run {@code items} items, and 5 s more. */
    private static void awaitRuns(Record record, List<Engine> engines, int items, double start) throws Exception {
        int done = 0;
        while (done < items && record.seconds() - start < MAX_RUN_S) {
            Thread.sleep(200);
            done = engines.stream().mapToInt(engine -> engine.completed.size()).sum();
        }
        record.line("engines", "have run " + done + " of " + items + " items to their end");
        Thread.sleep(5_000);
    }

    /** Reads a batch submission from its start; returns whether all results came. */
    private static boolean readAll(LotReader reader, List<Fleet.Node> nodes, int maxFailures) throws Exception {
        int failures = 0;
        while (reader.results.size() < ITEMS && failures < maxFailures) {
            if (reader.read(nodes.get(failures % nodes.size())) <= 0) {
                failures++;
                Thread.sleep(maxFailures > 1 ? 500 : 0);
            }
        }
        return reader.results.size() == ITEMS;
    }
}
