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

/** HTTP client of a scenario: sends requests to the nodes and sets faults on the stand-ins. */
final class FleetClient {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

    private final DemoFleet mFleet;
    private final HttpClient mHttpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    FleetClient(DemoFleet fleet) {
        mFleet = fleet;
    }

    /** Returns the body of a completion request that generates {@code tokens} tokens. */
    static JsonObject completionRequest(String prompt, int tokens, boolean stream) {
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
        return mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> postAsync(
            int node, String path, String body, String key) {
        HttpRequest request = postRequest(node, path, body, key, null);
        return mHttpClient.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest postRequest(
            int node, String path, String body, String key, @Nullable String idempotencyKey) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(mFleet.callerUrl(node) + path))
                        .timeout(REQUEST_TIMEOUT)
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (idempotencyKey != null) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return request.build();
    }

    HttpResponse<String> get(int node, String path, String key) throws Exception {
        return getUrl(mFleet.callerUrl(node) + path, key);
    }

    HttpResponse<String> getUrl(String url, String key) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(REQUEST_TIMEOUT)
                        .header("Authorization", "Bearer " + key)
                        .build();
        return mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sets the fault of the stand-in at {@code standInUrl}; replaces the former fault. */
    void setFault(String standInUrl, JsonObject fault) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(standInUrl + "/standin/faults"))
                        .timeout(REQUEST_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(fault.encode()))
                        .build();
        mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the execution counters of the stand-in at {@code standInUrl}. */
    JsonObject getExecutions(String standInUrl) throws Exception {
        return new JsonObject(getUrl(standInUrl + "/standin/executions", "").body());
    }

    void changeHostList(String method, String pathAndQuery) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mFleet.hostListUrl() + pathAndQuery))
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Sends bytes unchanged and returns all bytes received until the node closes the connection.
     */
    String sendRaw(int node, String bytes) throws Exception {
        URI uri = URI.create(mFleet.callerUrl(node));
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.setSoTimeout((int) REQUEST_TIMEOUT.toMillis());
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns the JSON lines of a batch input file with {@code count} completion requests. */
    static String batchInput(int count, String promptPrefix, int tokens) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < count; i++) {
            JsonObject item =
                    new JsonObject()
                            .put("custom_id", "sheet-" + i)
                            .put("method", "POST")
                            .put("url", "/v1/completions")
                            .put(
                                    "body",
                                    completionRequest(promptPrefix + " " + i + "!", tokens, false));
            lines.append(item.encode()).append('\n');
        }
        return lines.toString();
    }

    /**
     * Sends bytes unchanged and closes the connection after {@code afterMs} milliseconds without
     * reading the response.
     */
    void sendRawAndDisconnect(int node, String bytes, long afterMs) throws Exception {
        URI uri = URI.create(mFleet.callerUrl(node));
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(afterMs);
        }
    }
}
