package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sesamepin.cli.DemoFleet;

/** Cucumber steps for online requests, caller keys, invalid input and bookings. */
public class FleetSteps {
    private final List<CompletableFuture<HttpResponse<String>>> mPendingResponses =
            new ArrayList<>();
    private String mRawResponse = "";

    private final FleetWorld mWorld;

    /** Creates the steps for a scenario's fleet. */
    public FleetSteps(FleetWorld world) {
        mWorld = world;
    }

    /** Starts a fleet of three nodes with all stand-ins. */
    @Given("a fleet of three nodes")
    public void startFleet() throws Exception {
        mWorld.start();
    }

    /** Stops the fleet. */
    @After
    public void stopFleet() throws Exception {
        mWorld.stop();
    }

    // Online requests.

    @When("a caller streams {int} tokens through node {int}")
    public void postStreamRequest(int tokens, int node) throws Exception {
        String body = FleetClient.completionRequest("quote", tokens, true).encode();
        mWorld.setResponse(
                mWorld.client().post(node, "/v1/completions", body, mWorld.fleet().highRateKey()));
    }

    @When("a caller asks for {int} tokens at once through node {int}")
    public void postCompletionRequest(int tokens, int node) throws Exception {
        String body = FleetClient.completionRequest("quote", tokens, false).encode();
        mWorld.setResponse(
                mWorld.client().post(node, "/v1/completions", body, mWorld.fleet().highRateKey()));
    }

    @When("{int} callers begin to stream {int} tokens through node {int}")
    public void startStreams(int callers, int tokens, int node) {
        for (int i = 0; i < callers; i++) {
            String body = FleetClient.completionRequest("later " + i, tokens, true).encode();
            mPendingResponses.add(
                    mWorld.client()
                            .postAsync(
                                    node, "/v1/completions", body, mWorld.fleet().highRateKey()));
        }
    }

    @When("all of them have begun")
    public void awaitStreamsStarted() throws Exception {
        FleetWorld.await(
                "the streams to start",
                () -> {
                    long executions = 0;
                    for (int i = 0; i < FleetWorld.ENGINE_COUNT; i++) {
                        executions += mWorld.getEngineExecutions(i).getLong("executions");
                    }
                    return executions >= mPendingResponses.size();
                });
    }

    @Then("the stream is whole with {int} tokens")
    public void streamIsComplete(int tokens) {
        assertStreamComplete(mWorld.response(), tokens);
    }

    @Then("all of them get the whole {int} tokens")
    public void allStreamsAreComplete(int tokens) throws Exception {
        for (CompletableFuture<HttpResponse<String>> pendingResponse : mPendingResponses) {
            assertStreamComplete(
                    pendingResponse.get(FleetWorld.STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS), tokens);
        }
    }

    @Then("each of them gets the whole {int} tokens, or a part in order and an error event")
    public void allStreamsAreCompleteOrBroken(int tokens) throws Exception {
        int broken = 0;
        for (CompletableFuture<HttpResponse<String>> pendingResponse : mPendingResponses) {
            HttpResponse<String> response =
                    pendingResponse.get(FleetWorld.STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            String body = response.body();
            if (body.contains("data: [DONE]")) {
                assertStreamComplete(response, tokens);
                continue;
            }
            broken++;
            int received = body.split("\"text\":\"w", -1).length - 1;
            assertTokensInOrder(body, received);
            assertTrue(body.contains("event: error"), body);
            assertFalse(body.contains("there is no such stream"), body);
        }
        assertTrue(broken > 0, "no stream had to be continued");
    }

    private static void assertTokensInOrder(String body, int tokens) {
        int lastIndex = -1;
        for (int i = 0; i < tokens; i++) {
            String token = "\"text\":\"w" + i + "-";
            int index = body.indexOf(token);
            assertTrue(
                    index > lastIndex,
                    () -> "token missing, duplicated or out of order in " + body);
            assertEquals(index, body.lastIndexOf(token), "duplicated token");
            lastIndex = index;
        }
    }

    private static void assertStreamComplete(HttpResponse<String> response, int tokens) {
        String body = response.body();
        assertEquals(200, response.statusCode(), body);
        assertTokensInOrder(body, tokens);
        assertTrue(body.contains("data: [DONE]"), body);
    }

    @Then("all of them end without their whole answer")
    public void allStreamsAreInterrupted() throws Exception {
        for (CompletableFuture<HttpResponse<String>> pendingResponse : mPendingResponses) {
            boolean complete;
            try {
                HttpResponse<String> response =
                        pendingResponse.get(FleetWorld.STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                complete = response.body().contains("[DONE]");
            } catch (java.util.concurrent.ExecutionException e) {
                complete = false;
            }
            assertTrue(!complete, "a stream continued to its end although its key was withdrawn");
        }
    }

    @Then("the answer has status {int}")
    public void responseHasStatus(int status) {
        assertEquals(status, mWorld.response().statusCode(), mWorld.response().body());
    }

    @Then("the answer is problem {string} with execution {string}")
    public void responseIsProblem(String problem, String execution) {
        JsonObject body = new JsonObject(mWorld.response().body());
        assertEquals("urn:sesamepin:problem:" + problem, body.getString("type"), body.encode());
        assertEquals(execution, body.getString("execution"), body.encode());
    }

    @Then("the answer names {string}")
    public void responseContains(String text) {
        assertTrue(mWorld.response().body().contains(text), mWorld.response().body());
    }

    // Keys.

    @When("a caller without a good key asks node {int}")
    public void postWithInvalidKey(int node) throws Exception {
        String body = FleetClient.completionRequest("x", 1, false).encode();
        mWorld.setResponse(
                mWorld.client().post(node, "/v1/completions", body, "sp_demo-key_wrong"));
    }

    @When("a caller without a key reads {string} through node {int}")
    public void getWithoutKey(String path, int node) throws Exception {
        mWorld.setResponse(mWorld.client().get(node, path, ""));
    }

    @When("a caller puts its key into the query")
    public void postWithKeyInQuery() throws Exception {
        String path = "/bookings?token=" + mWorld.fleet().highRateKey();
        mWorld.setResponse(mWorld.client().post(0, path, "{}", mWorld.fleet().highRateKey()));
    }

    @When("a caller puts its key into the body")
    public void postWithKeyInBody() throws Exception {
        String body = "{\"note\":\"" + mWorld.fleet().highRateKey() + "\"}";
        mWorld.setResponse(
                mWorld.client().post(0, "/bookings", body, mWorld.fleet().highRateKey()));
    }

    @When("a caller sends its key in further headers")
    public void postWithKeyInOtherHeaders() throws Exception {
        String key = mWorld.fleet().highRateKey();
        mRawResponse =
                mWorld.client()
                        .sendRaw(
                                0,
                                "POST /bookings HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                        + "Authorization: Bearer "
                                        + key
                                        + "\r\nX-Api-Key: "
                                        + key
                                        + "\r\nCookie: k="
                                        + key
                                        + "\r\nX-Other: "
                                        + key
                                        + "\r\nContent-Length: 2\r\n\r\n{}");
    }

    @Then("no target has seen a key")
    public void noTargetReceivedKey() throws Exception {
        assertEquals(
                0,
                mWorld.client()
                        .getExecutions(mWorld.fleet().serviceUrl())
                        .getLong("key_sightings"));
        for (int i = 0; i < FleetWorld.ENGINE_COUNT; i++) {
            assertEquals(0, mWorld.getEngineExecutions(i).getLong("key_sightings"));
        }
    }

    @When("the operators withdraw the key")
    public void withdrawKey() throws Exception {
        String bundle = mWorld.fleet().nextBundleText("");
        mWorld.fleet()
                .roll(bundle.replace("[key demo-key]\n", "[key demo-key]\nwithdrawn = true\n"));
    }

    @Then("every node refuses the key")
    public void everyNodeRejectsKey() throws Exception {
        for (int index = 0; index < DemoFleet.NODE_COUNT; index++) {
            int node = index;
            FleetWorld.await(
                    "node " + node + " to reject the key",
                    () ->
                            mWorld.client()
                                            .get(node, "/v1/models", mWorld.fleet().highRateKey())
                                            .statusCode()
                                    == 401);
        }
    }

    // Raw and invalid input.

    @When("a caller sends {string} to node {int}")
    public void sendRaw(String text, int node) throws Exception {
        String bytes =
                text.replace("\\r\\n", "\r\n")
                        .replace("KEY", mWorld.fleet().highRateKey())
                        .replace("MANY", "X-Pad: 0123456789abcdef\r\n".repeat(4_000));
        mRawResponse = mWorld.client().sendRaw(node, bytes);
    }

    @Then("the node answers with status {int}")
    public void rawResponseHasStatus(int status) {
        assertTrue(
                mRawResponse.startsWith("HTTP/1.1 " + status),
                () -> "unexpected response: " + mRawResponse);
    }

    @When("a caller posts {int} bytes to {string}")
    public void postLarge(int bytes, String path) throws Exception {
        mWorld.setResponse(
                mWorld.client().post(0, path, "x".repeat(bytes), mWorld.fleet().highRateKey()));
    }

    @When("a caller posts the body {string} to {string}")
    public void postBody(String body, String path) throws Exception {
        mWorld.setResponse(mWorld.client().post(0, path, body, mWorld.fleet().highRateKey()));
    }

    @When("a caller uploads the line {string} behind {int} good ones")
    public void uploadFileWithInvalidLine(String line, int validLines) throws Exception {
        String lines = FleetClient.batchInput(validLines, "good", 2) + line + "\n";
        mWorld.setResponse(
                mWorld.client().post(0, "/v1/files", lines, mWorld.fleet().highRateKey()));
    }

    // Bookings.

    @When("a caller books with key {string} through node {int}")
    public void postBooking(String idempotencyKey, int node) throws Exception {
        mWorld.setResponse(
                mWorld.client()
                        .post(
                                node,
                                "/bookings",
                                "{\"mules\":3}",
                                mWorld.fleet().highRateKey(),
                                idempotencyKey));
    }

    @When("a caller books with key {string} through node {int} until it is not in doubt")
    public void postBookingUntilNotInDoubt(String idempotencyKey, int node) throws Exception {
        FleetWorld.await(
                "a response other than 409",
                () -> {
                    postBooking(idempotencyKey, node);
                    return mWorld.response().statusCode() != 409;
                });
    }

    @When("a caller books with key {string} through node {int} and leaves before the answer")
    public void postBookingAndDisconnect(String idempotencyKey, int node) throws Exception {
        JsonObject slowResponses = new JsonObject().put("kind", "none").put("delay_ms", 600);
        mWorld.client().setFault(mWorld.fleet().serviceUrl(), slowResponses);
        String request =
                "POST /bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        + mWorld.fleet().highRateKey()
                        + "\r\nIdempotency-Key: "
                        + idempotencyKey
                        + "\r\nContent-Length: 11\r\n\r\n{\"mules\":3}";
        mWorld.client().sendRawAndDisconnect(node, request, 200);
    }

    @When("the service will {string} the next {int} calls")
    public void setServiceFault(String kind, int count) throws Exception {
        JsonObject fault = new JsonObject().put("kind", kind).put("count", count);
        mWorld.client().setFault(mWorld.fleet().serviceUrl(), fault);
    }

    @Then("the service ran {int} calls")
    public void serviceExecutedCalls(int calls) throws Exception {
        assertEquals(
                calls,
                mWorld.client()
                        .getExecutions(mWorld.fleet().serviceUrl())
                        .getInteger("executions"));
    }
}
