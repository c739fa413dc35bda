package org.sesamepin.test;

import io.vertx.core.json.JsonObject;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.sesamepin.cli.DemoFleet;

/** Calls a fleet as callers and test benches do. */
final class FleetCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final DemoFleet mFleet;
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    FleetCaller(DemoFleet fleet) {
        mFleet = fleet;
    }

    /** Returns a model call with a number of tokens. */
    static JsonObject completion(String prompt, int tokens, boolean stream) {
        return new JsonObject()
                .put("model", "modelo-carga")
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", stream);
    }

    HttpResponse<String> post(int node, String path, String body, String key) throws Exception {
        return post(node, path, body, key, null);
    }

    HttpResponse<String> post(
            int node, String path, String body, String key, @Nullable String idempotencyKey)
            throws Exception {
        HttpRequest request = postRequest(node, path, body, key, idempotencyKey);
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> postLater(
            int node, String path, String body, String key) {
        HttpRequest request = postRequest(node, path, body, key, null);
        return mHttp.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest postRequest(
            int node, String path, String body, String key, @Nullable String idempotencyKey) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(mFleet.caller(node) + path))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (idempotencyKey != null) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return request.build();
    }

    HttpResponse<String> get(int node, String path, String key) throws Exception {
        return getUrl(mFleet.caller(node) + path, key);
    }

    HttpResponse<String> getUrl(String url, String key) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + key)
                        .build();
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Puts a fault in force at a stand-in. */
    void fault(String standIn, JsonObject fault) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(standIn + "/standin/faults"))
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(fault.encode()))
                        .build();
        mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns what a stand-in executed. */
    JsonObject executions(String standIn) throws Exception {
        return new JsonObject(getUrl(standIn + "/standin/executions", "").body());
    }

    void hostList(String method, String pathAndQuery) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mFleet.hostList() + pathAndQuery))
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends bytes as they are and returns what comes back until the node closes. */
    String raw(int node, String bytes) throws Exception {
        URI uri = URI.create(mFleet.caller(node));
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns the lines of an input file. */
    static String items(int count, String prompt, int tokens) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < count; i++) {
            JsonObject item =
                    new JsonObject()
                            .put("custom_id", "sheet-" + i)
                            .put("method", "POST")
                            .put("url", "/v1/completions")
                            .put("body", completion(prompt + " " + i + "!", tokens, false));
            lines.append(item.encode()).append('\n');
        }
        return lines.toString();
    }

    /** Sends bytes as they are and leaves after a while, without reading. */
    void rawAndLeave(int node, String bytes, long afterMs) throws Exception {
        URI uri = URI.create(mFleet.caller(node));
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(afterMs);
        }
    }
}
