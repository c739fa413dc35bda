import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the results of one batch submission, from the first one that is not known yet. */
final class LotReader {
    private final String mLot;
    private final Record mRecord;
    /** Outputs by item, in the order of their positions; null for an item that errored. */
    final Map<String, String> results = new LinkedHashMap<>();

    LotReader(String lot, Record record) {
        mLot = lot;
        mRecord = record;
    }

    String id() {
        return mLot;
    }

    /** Reads once at a node; returns the number of new results, or -1 without an answer of 200. */
    int read(Fleet.Node node) {
        try {
            Map<String, String> headers = Fleet.headers("r" + System.nanoTime(), 0);
            headers.put("Wait-Ms", "500");
            Http.Message page = Http.call(node.front, "GET", "/-/lots/" + mLot + "?after=" + results.size(),
                    headers, new byte[0], 3_000);
            if (page.status != 200) {
                mRecord.line("client", "read of " + mLot + " at " + node.name + ": " + page.status);
                return -1;
            }
            JsonArray list = new JsonObject(new String(page.body, StandardCharsets.UTF_8)).getJsonArray("results");
            for (int i = 0; i < list.size(); i++) {
                JsonObject result = list.getJsonObject(i);
                boolean done = result.getString("state").equals("done");
                results.put(result.getString("id"), done ? result.getString("output") : null);
            }
            mRecord.line("client", "read of " + mLot + " at " + node.name + ": " + list.size() + " more, "
                    + results.size() + " in all");
            return list.size();
        } catch (IOException e) {
            mRecord.line("client", "read of " + mLot + " at " + node.name + " failed: " + e.getMessage());
            return -1;
        }
    }
}
