package org.sesamepin.cli;

import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Sends sample requests to a demo fleet and prints the results: a stream, a booking that is sent
 * twice, a batch job, and a request with an invalid key.
 */
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

    /** Sends all sample requests; returns whether every result was as expected. */
    boolean run() throws Exception {
        boolean succeeded = showStream();
        succeeded &= showBooking();
        succeeded &= showBatch();
        succeeded &= showInvalidKey();
        mOut.printLine(
                succeeded
                        ? "all requests succeeded"
                        : "at least one request had an unexpected result, see above");
        return succeeded;
    }

    private boolean showStream() throws Exception {
        JsonObject requestJson =
                new JsonObject()
                        .put("model", "modelo-carga")
                        .put("prompt", "quote four mules to Ausangate")
                        .put("max_tokens", 12)
                        .put("stream", true);
        HttpResponse<String> response =
                post(0, "/v1/completions", requestJson.encode(), mFleet.highRateKey(), "");
        long events = response.body().lines().filter(l -> l.startsWith("data: {")).count();
        boolean complete = response.body().contains("data: [DONE]") && events == 12;
        mOut.printLine("online stream through entry-0: " + events + " events, whole=" + complete);
        return complete;
    }

    private boolean showBooking() throws Exception {
        String body = "{\"mules\":3}";
        HttpResponse<String> first = post(1, "/bookings", body, mFleet.highRateKey(), "booking-1");
        HttpResponse<String> repeated = resendBooking(body);
        boolean sameResponse = first.body().equals(repeated.body()) && first.statusCode() == 200;
        boolean replayed = repeated.headers().firstValue("Idempotent-Replayed").isPresent();
        mOut.printLine(
                "booking through entry-1, sent again through entry-2: status "
                        + first.statusCode()
                        + ", same answer="
                        + sameResponse
                        + ", run once="
                        + replayed);
        return sameResponse && replayed;
    }

    /**
     * Sends the booking again. The response is stored shortly after the first caller received it,
     * so an early repetition may fail with the problem {@code in-doubt} (status 409) and is
     * retried.
     */
    private HttpResponse<String> resendBooking(String body) throws Exception {
        HttpResponse<String> repeated =
                post(2, "/bookings", body, mFleet.highRateKey(), "booking-1");
        for (int i = 0; i < 20 && repeated.statusCode() == 409; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
            repeated = post(2, "/bookings", body, mFleet.highRateKey(), "booking-1");
        }
        return repeated;
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
        JsonObject jobRequest =
                new JsonObject()
                        .put("input_file_id", fileId)
                        .put("endpoint", "/v1/completions")
                        .put("completion_window", "24h");
        HttpResponse<String> job =
                post(1, "/v1/batches", jobRequest.encode(), mFleet.highRateKey(), "");
        String jobId = new JsonObject(job.body()).getString("id");
        JsonObject jobState = new JsonObject(job.body());
        for (int i = 0;
                i < MAX_BATCH_POLLS && jobState.getString("status").equals("in_progress");
                i++) {
            TimeUnit.MILLISECONDS.sleep(100);
            jobState = new JsonObject(get(2, "/v1/batches/" + jobId).body());
        }
        String output =
                get(0, "/v1/files/" + jobState.getString("output_file_id") + "/content").body();
        boolean complete = output.lines().count() == BATCH_ITEMS;
        mOut.printLine(
                "batch of "
                        + BATCH_ITEMS
                        + " load sheets: "
                        + jobState.getString("status")
                        + ", results "
                        + output.lines().count());
        return complete && jobState.getString("status").equals("completed");
    }

    private boolean showInvalidKey() throws Exception {
        JsonObject requestJson = new JsonObject().put("model", "modelo-carga").put("prompt", "x");
        HttpResponse<String> response =
                post(0, "/v1/completions", requestJson.encode(), "sp_no_key", "");
        mOut.printLine(
                "wrong key: status "
                        + response.statusCode()
                        + ", execution "
                        + new JsonObject(response.body()).getString("execution"));
        return response.statusCode() == 401;
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
