package org.sesamepin.cli;

import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Shows a fleet at work: a stream, a booking sent twice, a batch, and a wrong key. */
final class DemoScenario {
    private static final int BATCH_ITEMS = 40;
    private static final int MAX_BATCH_POLLS = 300;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

    private final DemoFleet mFleet;
    private final Output mOut;
    private final HttpClient mHttpClient = HttpClient.newHttpClient();

    DemoScenario(DemoFleet fleet, Output out) {
        mFleet = fleet;
        mOut = out;
    }

    /** Runs the tour; tells whether everything went as it should. */
    boolean run() throws Exception {
        boolean good = showStream();
        good &= showBooking();
        good &= showBatch();
        good &= showInvalidKey();
        mOut.line(good ? "all shown" : "something went wrong, see above");
        return good;
    }

    private boolean showStream() throws Exception {
        JsonObject call =
                new JsonObject()
                        .put("model", "modelo-carga")
                        .put("prompt", "quote four mules to Ausangate")
                        .put("max_tokens", 12)
                        .put("stream", true);
        HttpResponse<String> answer =
                post(0, "/v1/completions", call.encode(), mFleet.highRateKey(), "");
        long events = answer.body().lines().filter(l -> l.startsWith("data: {")).count();
        boolean whole = answer.body().contains("data: [DONE]") && events == 12;
        mOut.line("online stream through entry-0: " + events + " events, whole=" + whole);
        return whole;
    }

    private boolean showBooking() throws Exception {
        String body = "{\"mules\":3}";
        HttpResponse<String> first = post(1, "/bookings", body, mFleet.highRateKey(), "booking-1");
        HttpResponse<String> again = resendBooking(body);
        boolean same = first.body().equals(again.body()) && first.statusCode() == 200;
        boolean replayed = again.headers().firstValue("Idempotent-Replayed").isPresent();
        mOut.line(
                "booking through entry-1, sent again through entry-2: status "
                        + first.statusCode()
                        + ", same answer="
                        + same
                        + ", run once="
                        + replayed);
        return same && replayed;
    }

    /** The answer is stored just behind the first one, so an early resend may be in doubt. */
    private HttpResponse<String> resendBooking(String body) throws Exception {
        HttpResponse<String> again = post(2, "/bookings", body, mFleet.highRateKey(), "booking-1");
        for (int i = 0; i < 20 && again.statusCode() == 409; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
            again = post(2, "/bookings", body, mFleet.highRateKey(), "booking-1");
        }
        return again;
    }

    private boolean showBatch() throws Exception {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < BATCH_ITEMS; i++) {
            JsonObject body =
                    new JsonObject()
                            .put("model", "modelo-carga")
                            .put("prompt", "load sheet of arriero " + i)
                            .put("max_tokens", 8);
            JsonObject item =
                    new JsonObject()
                            .put("custom_id", "sheet-" + i)
                            .put("method", "POST")
                            .put("url", "/v1/completions")
                            .put("body", body);
            lines.append(item.encode()).append('\n');
        }
        HttpResponse<String> file =
                post(0, "/v1/files", lines.toString(), mFleet.highRateKey(), "");
        String fileId = new JsonObject(file.body()).getString("id");
        JsonObject create =
                new JsonObject()
                        .put("input_file_id", fileId)
                        .put("endpoint", "/v1/completions")
                        .put("completion_window", "24h");
        HttpResponse<String> job =
                post(1, "/v1/batches", create.encode(), mFleet.highRateKey(), "");
        String id = new JsonObject(job.body()).getString("id");
        JsonObject state = new JsonObject(job.body());
        for (int i = 0;
                i < MAX_BATCH_POLLS && state.getString("status").equals("in_progress");
                i++) {
            TimeUnit.MILLISECONDS.sleep(100);
            state = new JsonObject(get(2, "/v1/batches/" + id).body());
        }
        String output =
                get(0, "/v1/files/" + state.getString("output_file_id") + "/content").body();
        boolean whole = output.lines().count() == BATCH_ITEMS;
        mOut.line(
                "batch of "
                        + BATCH_ITEMS
                        + " load sheets: "
                        + state.getString("status")
                        + ", results "
                        + output.lines().count());
        return whole && state.getString("status").equals("completed");
    }

    private boolean showInvalidKey() throws Exception {
        JsonObject call = new JsonObject().put("model", "modelo-carga").put("prompt", "x");
        HttpResponse<String> answer = post(0, "/v1/completions", call.encode(), "sp_no_key", "");
        mOut.line(
                "wrong key: status "
                        + answer.statusCode()
                        + ", execution "
                        + new JsonObject(answer.body()).getString("execution"));
        return answer.statusCode() == 401;
    }

    private HttpResponse<String> post(
            int node, String path, String body, String key, String idempotencyKey)
            throws Exception {
        HttpRequest.Builder request =
                request(node, path, key).POST(HttpRequest.BodyPublishers.ofString(body));
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return mHttpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(int node, String path) throws Exception {
        HttpRequest request = request(node, path, mFleet.highRateKey()).GET().build();
        return mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(int node, String path, String key) {
        return HttpRequest.newBuilder(URI.create(mFleet.callerUrl(node) + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + key);
    }
}
