import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Results in Greek text pile up while the store is down; are all of them listed afterwards? */
final class LargeSegment {
    private static final int ITEMS = 200;
    private static final int EVENTS = 188;
    private static final String TEXT = "Άνεμος βόρειος πέντε μποφόρ, ριπές έξι";
    private static final double FINISH_S = 18;
    private static final double DOWN_AT = 3.4;
    private static final double DOWN_S = 6.5;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store(record);
        Fleet.writeConfig(store);
        Engine[] engines = new Engine[2];
        for (int i = 0; i < engines.length; i++) {
            engines[i] = new Engine(store, record, "i-model-" + i, "model", 8);
            engines[i].events = EVENTS;
            engines[i].eventMs = 4;
            engines[i].text = TEXT;
        }
        Fleet fleet = new Fleet(store, record, 2);
        fleet.awaitReady();
        String lot = "a1b2c3d4e5f60718";
        Http.Message accepted = Http.call(fleet.nodes.get(0).front, "POST", "/lots/" + lot,
                Fleet.headers(lot, 4_000), Fleet.lot(lot, ITEMS).toBuffer().getBytes(), 6_000);
        record.line("client", "batch submission of " + ITEMS + " items: " + accepted.status);
        if (accepted.status != 202) {
            System.exit(2);
        }
        double start = record.seconds();
        Map<String, String> results = new LinkedHashMap<>();
        double lastProgress = start;
        boolean down = false;
        boolean wasDown = false;
        double allRunAt = 0;
        while (results.size() < ITEMS && record.seconds() - start < 75) {
            double now = record.seconds() - start;
            if (trouble && !wasDown && now >= DOWN_AT) {
                store.down();
                down = true;
                wasDown = true;
            }
            if (down && now >= DOWN_AT + DOWN_S) {
                store.up();
                down = false;
            }
            Fleet.Node node = fleet.nodes.get((int) (now * 2) % 2);
            int before = results.size();
            read(node, lot, results, record);
            if (results.size() > before) {
                lastProgress = record.seconds();
            }
            int done = engines[0].completed.size() + engines[1].completed.size();
            if (allRunAt == 0 && done >= ITEMS) {
                allRunAt = record.seconds();
                record.line("engines", "all items have run to their end");
            }
            boolean over = allRunAt > 0 && record.seconds() - allRunAt > FINISH_S + 5
                    && record.seconds() - lastProgress > 5;
            if (over) {
                break;
            }
            Thread.sleep(500);
        }
        Map<String, Integer> wrong = new HashMap<>();
        results.forEach((id, output) -> {
            if (!output.equals(engines[0].output())) {
                wrong.put(id, output.length());
            }
        });
        int runs = engines[0].completed.values().stream().mapToInt(Integer::intValue).sum()
                + engines[1].completed.values().stream().mapToInt(Integer::intValue).sum();
        record.line("verdict", "listed " + results.size() + " of " + ITEMS + " items, wrong " + wrong.size()
                + ", complete runs " + runs + ", last item run to its end at " + allRunAt + " s, running now "
                + (engines[0].running.get() + engines[1].running.get()));
        fleet.endAll();
        if (allRunAt == 0) {
            System.exit(2);
        }
        System.exit(results.size() == ITEMS && wrong.isEmpty() ? 0 : 1);
    }

    private static void read(Fleet.Node node, String lot, Map<String, String> results, Record record) {
        try {
            Map<String, String> headers = Fleet.headers("r" + System.nanoTime(), 0);
            headers.put("Wait-Ms", "500");
            Http.Message page = Http.call(node.front, "GET", "/-/lots/" + lot + "?after=" + results.size(),
                    headers, new byte[0], 3_000);
            if (page.status != 200) {
                record.line("client", "read at " + results.size() + ": " + page.status);
                return;
            }
            JsonArray list = new JsonObject(new String(page.body, StandardCharsets.UTF_8)).getJsonArray("results");
            for (int i = 0; i < list.size(); i++) {
                JsonObject result = list.getJsonObject(i);
                results.put(result.getString("id"), result.getString("state").equals("done") ? result.getString("output") : "");
            }
            record.line("client", "read: " + list.size() + " more results, " + results.size() + " in all");
        } catch (java.io.IOException e) {
            record.line("client", "read failed: " + e.getMessage());
        }
    }
}
