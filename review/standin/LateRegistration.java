import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node is killed and starts again while the store does some writes late and without an answer. Is
 * the work done that the node accepts afterwards, when all is calm?
 */
final class LateRegistration {
    private static final int ITEMS = 10;
    private static final int LATE_WRITES = 2;
    private static final double FINISH_S = 18;
    private static final int CALM_MS = 12_000;

    /** Batch submissions that other nodes get while two of the restarted node's writes are late. */
    private static final int OTHER_LOTS = 6;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int restarted = 0;
        Record record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store(record);
        Fleet.writeConfig(store);
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Engine engine = new Engine(store, record, "i-model-" + i, "model", 8);
            engine.events = 100;
            engine.eventMs = 10;
            engines.add(engine);
        }
        Fleet fleet = new Fleet(store, record, 3);
        fleet.awaitReady();
        Fleet.Node node = fleet.nodes.get(restarted);
        String hostKey = "/host/" + node.name;
        if (trouble) {
            AtomicInteger late = new AtomicInteger();
            store.doLate = body -> body.getJsonArray("writes").stream()
                    .anyMatch(write -> ((JsonObject) write).getString("key").endsWith(hostKey))
                    && late.incrementAndGet() <= LATE_WRITES;
        }
        if (trouble) {
            fleet.kill(node);
            Thread.sleep(1_000);
            fleet.start(node);
        }
        List<LotReader> readers = new ArrayList<>();
        for (int i = 0; i < OTHER_LOTS; i++) {
            Thread.sleep(500);
            submit(fleet.nodes.get((restarted + 1 + i % 2) % 3), String.format("%016x", 0xd000 + i), readers, record);
        }
        fleet.awaitReady();
        Thread.sleep(CALM_MS);
        store.doLate = body -> false;
        record.line("client", "all is calm; each node gets a batch submission of " + ITEMS + " items");
        for (int i = 0; i < 3; i++) {
            submit(fleet.nodes.get((restarted + i) % 3), String.format("%016x", 0xe000 + i), readers, record);
        }
        double acceptedAt = record.seconds();
        int complete = 0;
        while (record.seconds() - acceptedAt < FINISH_S + 22 && complete < readers.size()) {
            Thread.sleep(1_000);
            complete = 0;
            for (LotReader reader : readers) {
                if (reader.results.size() < ITEMS) {
                    reader.read(fleet.nodes.get((int) record.seconds() % 3));
                }
                complete += reader.results.size() == ITEMS ? 1 : 0;
            }
        }
        int running = engines.stream().mapToInt(engine -> engine.running.get()).sum();
        for (LotReader reader : readers) {
            record.line("verdict", reader.id() + " lists " + reader.results.size() + " of " + ITEMS + " items");
        }
        record.line("verdict", "accepted " + readers.size() + " of " + (OTHER_LOTS + 3) + ", complete " + complete + ", items running now "
                + running + ", " + (record.seconds() - acceptedAt) + " s after the last 202");
        fleet.endAll();
        System.exit(readers.size() < OTHER_LOTS + 3 ? 2 : complete < readers.size() ? 1 : 0);
    }

    private static void submit(Fleet.Node node, String lot, List<LotReader> readers, Record record) throws IOException {
        int status = Http.call(node.front, "POST", "/lots/" + lot, Fleet.headers(lot, 4_000),
                Fleet.lot(lot, ITEMS).toBuffer().getBytes(), 5_000).status;
        record.line("client", "batch submission " + lot + " of " + ITEMS + " items at " + node.name + ": " + status);
        if (status == 202) {
            readers.add(new LotReader(lot, record));
        }
    }
}
