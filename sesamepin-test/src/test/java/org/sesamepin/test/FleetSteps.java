package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Steps about online requests, keys and bookings. */
public class FleetSteps {
    private final List<CompletableFuture<HttpResponse<String>>> mLater = new ArrayList<>();
    private String mRaw = "";

    private final FleetWorld mWorld;

    /** Creates the steps over a scenario's fleet. */
    public FleetSteps(FleetWorld world) {
        mWorld = world;
    }

    /** Starts a fleet of three nodes with all stand-ins. */
    @Given("a fleet of three nodes")
    public void startFleet() throws Exception {
        mWorld.start();
    }

    /** Ends the fleet. */
    @After
    public void stopFleet() throws Exception {
        mWorld.stop();
    }

    // Online requests.

    @When("a caller streams {int} tokens through node {int}")
    public void stream(int tokens, int node) throws Exception {
        String body = FleetCaller.completion("quote", tokens, true).encode();
        mWorld.setAnswer(mWorld.caller().post(node, "/v1/completions", body, mWorld.fleet().key()));
    }

    @When("a caller asks for {int} tokens at once through node {int}")
    public void complete(int tokens, int node) throws Exception {
        String body = FleetCaller.completion("quote", tokens, false).encode();
        mWorld.setAnswer(mWorld.caller().post(node, "/v1/completions", body, mWorld.fleet().key()));
    }

    @When("{int} callers begin to stream {int} tokens through node {int}")
    public void streamLater(int callers, int tokens, int node) {
        for (int i = 0; i < callers; i++) {
            String body = FleetCaller.completion("later " + i, tokens, true).encode();
            mLater.add(
                    mWorld.caller().postLater(node, "/v1/completions", body, mWorld.fleet().key()));
        }
    }

    @When("all of them have begun")
    public void begun() throws Exception {
        FleetWorld.await(
                "the streams to begin",
                () -> {
                    long executions = 0;
                    for (int i = 0; i < FleetWorld.ENGINES; i++) {
                        executions += mWorld.executions(i).getLong("executions");
                    }
                    return executions >= mLater.size();
                });
    }

    @Then("the stream is whole with {int} tokens")
    public void streamIsWhole(int tokens) {
        assertWhole(mWorld.answer(), tokens);
    }

    @Then("all of them get the whole {int} tokens")
    public void allWhole(int tokens) throws Exception {
        for (CompletableFuture<HttpResponse<String>> later : mLater) {
            assertWhole(later.get(FleetWorld.PATIENCE_MS, TimeUnit.MILLISECONDS), tokens);
        }
    }

    private static void assertWhole(HttpResponse<String> answer, int tokens) {
        String body = answer.body();
        assertEquals(200, answer.statusCode(), body);
        int at = -1;
        for (int i = 0; i < tokens; i++) {
            int next = body.indexOf("\"text\":\"w" + i + "-");
            assertTrue(next > at, () -> "token missing, doubled or out of order in " + body);
            assertEquals(next, body.lastIndexOf("\"text\":\"w" + i + "-"), "doubled token");
            at = next;
        }
        assertTrue(body.contains("data: [DONE]"), body);
    }

    @Then("all of them end without their whole answer")
    public void allCut() throws Exception {
        for (CompletableFuture<HttpResponse<String>> later : mLater) {
            boolean whole;
            try {
                HttpResponse<String> answer =
                        later.get(FleetWorld.PATIENCE_MS, TimeUnit.MILLISECONDS);
                whole = answer.body().contains("[DONE]");
            } catch (java.util.concurrent.ExecutionException e) {
                whole = false;
            }
            assertTrue(!whole, "a stream of a withdrawn key went on to its end");
        }
    }

    @Then("the answer has status {int}")
    public void hasStatus(int status) {
        assertEquals(status, mWorld.answer().statusCode(), mWorld.answer().body());
    }

    @Then("the answer is problem {string} with execution {string}")
    public void isProblem(String problem, String execution) {
        JsonObject body = new JsonObject(mWorld.answer().body());
        assertEquals("urn:sesamepin:problem:" + problem, body.getString("type"), body.encode());
        assertEquals(execution, body.getString("execution"), body.encode());
    }

    @Then("the answer names {string}")
    public void names(String text) {
        assertTrue(mWorld.answer().body().contains(text), mWorld.answer().body());
    }

    // Keys.

    @When("a caller without a good key asks node {int}")
    public void wrongKey(int node) throws Exception {
        String body = FleetCaller.completion("x", 1, false).encode();
        mWorld.setAnswer(mWorld.caller().post(node, "/v1/completions", body, "sp_demo-key_wrong"));
    }

    @When("a caller without a key reads {string} through node {int}")
    public void openRoute(String path, int node) throws Exception {
        mWorld.setAnswer(mWorld.caller().get(node, path, ""));
    }

    @When("a caller puts its key into the query")
    public void keyInQuery() throws Exception {
        String path = "/bookings?token=" + mWorld.fleet().key();
        mWorld.setAnswer(mWorld.caller().post(0, path, "{}", mWorld.fleet().key()));
    }

    @When("a caller puts its key into the body")
    public void keyInBody() throws Exception {
        String body = "{\"note\":\"" + mWorld.fleet().key() + "\"}";
        mWorld.setAnswer(mWorld.caller().post(0, "/bookings", body, mWorld.fleet().key()));
    }

    @When("a caller sends its key in further headers")
    public void keyInHeaders() throws Exception {
        String key = mWorld.fleet().key();
        mRaw =
                mWorld.caller()
                        .raw(
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
    public void noKeySeen() throws Exception {
        assertEquals(
                0, mWorld.caller().executions(mWorld.fleet().service()).getLong("key_sightings"));
        for (int i = 0; i < FleetWorld.ENGINES; i++) {
            assertEquals(0, mWorld.executions(i).getLong("key_sightings"));
        }
    }

    @When("the operators withdraw the key")
    public void withdraw() throws Exception {
        String bundle = mWorld.fleet().bundle("");
        mWorld.fleet()
                .roll(bundle.replace("[key demo-key]\n", "[key demo-key]\nwithdrawn = true\n"));
    }

    @Then("every node refuses the key")
    public void everyNodeRefuses() throws Exception {
        for (int i = 0; i < DemoFleet.NODES; i++) {
            int node = i;
            FleetWorld.await(
                    "node " + node + " to refuse the key",
                    () ->
                            mWorld.caller()
                                            .get(node, "/v1/models", mWorld.fleet().key())
                                            .statusCode()
                                    == 401);
        }
    }

    // Raw and bad input.

    @When("a caller sends {string} to node {int}")
    public void sendRaw(String text, int node) throws Exception {
        String bytes =
                text.replace("\\r\\n", "\r\n")
                        .replace("KEY", mWorld.fleet().key())
                        .replace("MANY", "X-Pad: 0123456789abcdef\r\n".repeat(4_000));
        mRaw = mWorld.caller().raw(node, bytes);
    }

    @Then("the node answers with status {int}")
    public void rawStatus(int status) {
        assertTrue(mRaw.startsWith("HTTP/1.1 " + status), () -> "got: " + mRaw);
    }

    @When("a caller posts {int} bytes to {string}")
    public void postLarge(int bytes, String path) throws Exception {
        mWorld.setAnswer(mWorld.caller().post(0, path, "x".repeat(bytes), mWorld.fleet().key()));
    }

    @When("a caller posts the body {string} to {string}")
    public void postBody(String body, String path) throws Exception {
        mWorld.setAnswer(mWorld.caller().post(0, path, body, mWorld.fleet().key()));
    }

    @When("a caller uploads the line {string} behind {int} good ones")
    public void uploadBad(String line, int good) throws Exception {
        String lines = FleetCaller.items(good, "good", 2) + line + "\n";
        mWorld.setAnswer(mWorld.caller().post(0, "/v1/files", lines, mWorld.fleet().key()));
    }

    // Bookings.

    @When("a caller books with key {string} through node {int}")
    public void book(String idempotencyKey, int node) throws Exception {
        mWorld.setAnswer(
                mWorld.caller()
                        .post(
                                node,
                                "/bookings",
                                "{\"mules\":3}",
                                mWorld.fleet().key(),
                                idempotencyKey));
    }

    @When("a caller books with key {string} through node {int} until it is not in doubt")
    public void bookUntilSure(String idempotencyKey, int node) throws Exception {
        FleetWorld.await(
                "a sure answer",
                () -> {
                    book(idempotencyKey, node);
                    return mWorld.answer().statusCode() != 409;
                });
    }

    @When("a caller books with key {string} through node {int} and leaves before the answer")
    public void bookAndLeave(String idempotencyKey, int node) throws Exception {
        JsonObject slow = new JsonObject().put("kind", "none").put("delay_ms", 600);
        mWorld.caller().fault(mWorld.fleet().service(), slow);
        String request =
                "POST /bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        + mWorld.fleet().key()
                        + "\r\nIdempotency-Key: "
                        + idempotencyKey
                        + "\r\nContent-Length: 11\r\n\r\n{\"mules\":3}";
        mWorld.caller().rawAndLeave(node, request, 200);
    }

    @When("the service will {string} the next {int} calls")
    public void serviceFault(String kind, int count) throws Exception {
        JsonObject fault = new JsonObject().put("kind", kind).put("count", count);
        mWorld.caller().fault(mWorld.fleet().service(), fault);
    }

    @Then("the service ran {int} calls")
    public void serviceRan(int calls) throws Exception {
        assertEquals(
                calls,
                mWorld.caller().executions(mWorld.fleet().service()).getInteger("executions"));
    }
}
