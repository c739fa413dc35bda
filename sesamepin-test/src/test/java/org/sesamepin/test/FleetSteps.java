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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.sesamepin.cli.DemoFleet;
import org.sesamepin.standin.store.StoreFault;

/** Steps of the scenarios; each scenario has a fleet of its own. */
public class FleetSteps {
    private static final AtomicInteger PORTS = new AtomicInteger(20_000);
    private static final int PORTS_PER_FLEET = 200;
    private static final int ENGINES = 3;
    private static final long PATIENCE_MS = 30_000;

    private @Nullable DemoFleet mFleet;
    private @Nullable FleetCaller mCaller;
    private @Nullable HttpResponse<String> mAnswer;
    private final List<HttpResponse<String>> mAnswers = new ArrayList<>();
    private final List<CompletableFuture<HttpResponse<String>>> mLater = new ArrayList<>();
    private String mRaw = "";
    private String mFile = "";
    private String mJob = "";

    /** A condition that a step waits for. */
    @FunctionalInterface
    private interface Condition {
        boolean holds() throws Exception;
    }

    /** Starts a fleet of three nodes with all stand-ins. */
    @Given("a fleet of three nodes")
    public void startFleet() throws Exception {
        DemoFleet fleet = new DemoFleet(PORTS.getAndAdd(PORTS_PER_FLEET));
        mFleet = fleet;
        mCaller = new FleetCaller(fleet);
        fleet.start();
    }

    /** Ends the fleet. */
    @After
    public void stopFleet() throws Exception {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    private DemoFleet fleet() {
        if (mFleet == null) {
            throw new IllegalStateException("no fleet");
        }
        return mFleet;
    }

    private FleetCaller caller() {
        if (mCaller == null) {
            throw new IllegalStateException("no fleet");
        }
        return mCaller;
    }

    private HttpResponse<String> answer() {
        if (mAnswer == null) {
            throw new IllegalStateException("no answer");
        }
        return mAnswer;
    }

    private static void await(String what, Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() - deadline < 0, "waited in vain for " + what);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    // Online requests.

    @When("a caller streams {int} tokens through node {int}")
    public void stream(int tokens, int node) throws Exception {
        String body = FleetCaller.completion("quote", tokens, true).encode();
        mAnswer = caller().post(node, "/v1/completions", body, fleet().key());
    }

    @When("a caller asks for {int} tokens at once through node {int}")
    public void complete(int tokens, int node) throws Exception {
        String body = FleetCaller.completion("quote", tokens, false).encode();
        mAnswer = caller().post(node, "/v1/completions", body, fleet().key());
    }

    @When("{int} callers begin to stream {int} tokens through node {int}")
    public void streamLater(int callers, int tokens, int node) {
        for (int i = 0; i < callers; i++) {
            String body = FleetCaller.completion("later " + i, tokens, true).encode();
            mLater.add(caller().postLater(node, "/v1/completions", body, fleet().key()));
        }
    }

    @When("all of them have begun")
    public void begun() throws Exception {
        await(
                "the streams to begin",
                () -> {
                    long executions = 0;
                    for (int i = 0; i < ENGINES; i++) {
                        executions += executions(i).getLong("executions");
                    }
                    return executions >= mLater.size();
                });
    }

    private JsonObject executions(int engine) throws Exception {
        return caller().executions(fleet().engine(engine));
    }

    @Then("the stream is whole with {int} tokens")
    public void streamIsWhole(int tokens) {
        assertWhole(answer(), tokens);
    }

    @Then("all of them get the whole {int} tokens")
    public void allWhole(int tokens) throws Exception {
        for (CompletableFuture<HttpResponse<String>> later : mLater) {
            assertWhole(later.get(PATIENCE_MS, TimeUnit.MILLISECONDS), tokens);
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
                HttpResponse<String> answer = later.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
                whole = answer.body().contains("[DONE]");
            } catch (java.util.concurrent.ExecutionException e) {
                whole = false;
            }
            assertTrue(!whole, "a stream of a withdrawn key went on to its end");
        }
    }

    @Then("the answer has status {int}")
    public void hasStatus(int status) {
        assertEquals(status, answer().statusCode(), answer().body());
    }

    @Then("the answer is problem {string} with execution {string}")
    public void isProblem(String problem, String execution) {
        JsonObject body = new JsonObject(answer().body());
        assertEquals("urn:sesamepin:problem:" + problem, body.getString("type"), body.encode());
        assertEquals(execution, body.getString("execution"), body.encode());
    }

    @Then("the answer names {string}")
    public void names(String text) {
        assertTrue(answer().body().contains(text), answer().body());
    }

    // Keys.

    @When("a caller without a good key asks node {int}")
    public void wrongKey(int node) throws Exception {
        String body = FleetCaller.completion("x", 1, false).encode();
        mAnswer = caller().post(node, "/v1/completions", body, "sp_demo-key_wrong");
    }

    @When("a caller without a key reads {string} through node {int}")
    public void openRoute(String path, int node) throws Exception {
        mAnswer = caller().get(node, path, "");
    }

    @When("a caller puts its key into the query")
    public void keyInQuery() throws Exception {
        String path = "/bookings?token=" + fleet().key();
        mAnswer = caller().post(0, path, "{}", fleet().key());
    }

    @When("a caller puts its key into the body")
    public void keyInBody() throws Exception {
        String body = "{\"note\":\"" + fleet().key() + "\"}";
        mAnswer = caller().post(0, "/bookings", body, fleet().key());
    }

    @When("a caller sends its key in further headers")
    public void keyInHeaders() throws Exception {
        String key = fleet().key();
        mRaw =
                caller().raw(
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
        assertEquals(0, caller().executions(fleet().service()).getLong("key_sightings"));
        for (int i = 0; i < ENGINES; i++) {
            assertEquals(0, executions(i).getLong("key_sightings"));
        }
    }

    @When("the operators withdraw the key")
    public void withdraw() throws Exception {
        String bundle = fleet().bundle("");
        fleet().roll(bundle.replace("[key demo-key]\n", "[key demo-key]\nwithdrawn = true\n"));
    }

    @Then("every node refuses the key")
    public void everyNodeRefuses() throws Exception {
        for (int i = 0; i < DemoFleet.NODES; i++) {
            int node = i;
            await(
                    "node " + node + " to refuse the key",
                    () -> caller().get(node, "/v1/models", fleet().key()).statusCode() == 401);
        }
    }

    // Raw and bad input.

    @When("a caller sends {string} to node {int}")
    public void sendRaw(String text, int node) throws Exception {
        String bytes =
                text.replace("\\r\\n", "\r\n")
                        .replace("KEY", fleet().key())
                        .replace("MANY", "X-Pad: 0123456789abcdef\r\n".repeat(4_000));
        mRaw = caller().raw(node, bytes);
    }

    @Then("the node answers with status {int}")
    public void rawStatus(int status) {
        assertTrue(mRaw.startsWith("HTTP/1.1 " + status), () -> "got: " + mRaw);
    }

    @When("a caller posts {int} bytes to {string}")
    public void postLarge(int bytes, String path) throws Exception {
        mAnswer = caller().post(0, path, "x".repeat(bytes), fleet().key());
    }

    @When("a caller posts the body {string} to {string}")
    public void postBody(String body, String path) throws Exception {
        mAnswer = caller().post(0, path, body, fleet().key());
    }

    @When("a caller uploads the line {string} behind {int} good ones")
    public void uploadBad(String line, int good) throws Exception {
        String lines = items(good, "good", 2) + line + "\n";
        mAnswer = caller().post(0, "/v1/files", lines, fleet().key());
    }

    // Bookings.

    @When("a caller books with key {string} through node {int}")
    public void book(String idempotencyKey, int node) throws Exception {
        mAnswer = caller().post(node, "/bookings", "{\"mules\":3}", fleet().key(), idempotencyKey);
        mAnswers.add(answer());
    }

    @When("a caller books with key {string} through node {int} until it is not in doubt")
    public void bookUntilSure(String idempotencyKey, int node) throws Exception {
        await(
                "a sure answer",
                () -> {
                    book(idempotencyKey, node);
                    return answer().statusCode() != 409;
                });
    }

    @When("the service will {string} the next {int} calls")
    public void serviceFault(String kind, int count) throws Exception {
        JsonObject fault = new JsonObject().put("kind", kind).put("count", count);
        caller().fault(fleet().service(), fault);
    }

    @Then("the service ran {int} calls")
    public void serviceRan(int calls) throws Exception {
        assertEquals(calls, caller().executions(fleet().service()).getInteger("executions"));
    }

    // Batch jobs.

    private static String items(int count, String prompt, int tokens) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < count; i++) {
            JsonObject item =
                    new JsonObject()
                            .put("custom_id", "sheet-" + i)
                            .put("method", "POST")
                            .put("url", "/v1/completions")
                            .put(
                                    "body",
                                    FleetCaller.completion(prompt + " " + i + "!", tokens, false));
            lines.append(item.encode()).append('\n');
        }
        return lines.toString();
    }

    @When("a customer submits a job of {int} items of {int} tokens through node {int}")
    public void submit(int items, int tokens, int node) throws Exception {
        HttpResponse<String> file =
                caller().post(node, "/v1/files", items(items, "sheet", tokens), fleet().key());
        assertEquals(200, file.statusCode(), file.body());
        mFile = new JsonObject(file.body()).getString("id");
        mJob = createJob(node);
    }

    private String createJob(int node) throws Exception {
        JsonObject create =
                new JsonObject()
                        .put("input_file_id", mFile)
                        .put("endpoint", "/v1/completions")
                        .put("completion_window", "24h");
        HttpResponse<String> job =
                caller().post(node, "/v1/batches", create.encode(), fleet().key());
        assertEquals(200, job.statusCode(), job.body());
        return new JsonObject(job.body()).getString("id");
    }

    @When("the customer sends the same job again through node {int}")
    public void resubmit(int node) throws Exception {
        assertEquals(mJob, createJob(node));
    }

    private JsonObject job(int node) throws Exception {
        return new JsonObject(caller().get(node, "/v1/batches/" + mJob, fleet().key()).body());
    }

    @When("{int} of its items are complete")
    public void someComplete(int items) throws Exception {
        await(
                "some items to complete",
                () -> job(0).getJsonObject("request_counts").getInteger("completed") >= items);
    }

    @When("the customer cancels it through node {int}")
    public void cancelJob(int node) throws Exception {
        mAnswer = caller().post(node, "/v1/batches/" + mJob + "/cancel", "", fleet().key());
        assertEquals(200, answer().statusCode(), answer().body());
    }

    @Then("no item of it starts after the answer")
    public void nothingStarts() throws Exception {
        long before = started();
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertEquals(before, started(), "items started after the cancel was answered");
    }

    private long started() throws Exception {
        long started = 0;
        for (int i = 0; i < ENGINES; i++) {
            started += executions(i).getLong("executions");
        }
        return started;
    }

    @Then("the job ends as {string} with {int} results and {int} errors through node {int}")
    public void jobEnds(String status, int results, int errors, int node) throws Exception {
        await("the job to end", () -> status.equals(job(node).getString("status")));
        JsonObject ended = job(node);
        String output = content(node, ended.getString("output_file_id"));
        String failed = content(node, ended.getString("error_file_id"));
        assertEquals(results, lines(output).size(), output);
        assertEquals(errors, lines(failed).size(), failed);
        Set<String> ids = new HashSet<>();
        lines(output).forEach(l -> ids.add(new JsonObject(l).getString("custom_id")));
        lines(failed).forEach(l -> ids.add(new JsonObject(l).getString("custom_id")));
        assertEquals(results + errors, ids.size(), "an item has two results");
    }

    @Then("the job ends as {string} through node {int}")
    public void jobEndsAs(String status, int node) throws Exception {
        await("the job to end", () -> status.equals(job(node).getString("status")));
    }

    private String content(int node, String file) throws Exception {
        return caller().get(node, "/v1/files/" + file + "/content", fleet().key()).body();
    }

    private static List<String> lines(String text) {
        return text.lines().filter(l -> !l.isEmpty()).toList();
    }

    // Faults of engines, hosts and the store.

    @When("engine {int} is {string}")
    public void engineFault(int engine, String kind) throws Exception {
        caller().fault(fleet().engine(engine), new JsonObject().put("kind", kind));
    }

    @When("every engine is {string}")
    public void everyEngineFault(String kind) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            engineFault(i, kind);
        }
    }

    @When("every engine dies of the word {string}")
    public void poison(String word) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            JsonObject fault = new JsonObject().put("kind", "none").put("word", word);
            caller().fault(fleet().engine(i), fault);
        }
    }

    @When("the host of node {int} is lost")
    public void kill(int node) throws Exception {
        fleet().killNode(node);
    }

    @When("node {int} is stopped as planned")
    public void stopNode(int node) throws Exception {
        fleet().stopNode(node);
    }

    @When("node {int} is started again")
    public void startNode(int node) throws Exception {
        fleet().startNode(node);
        fleet().awaitReady();
    }

    @When("the store is {string}")
    public void storeFault(String kind) {
        fleet().store().setFault(StoreFault.fromJson(new JsonObject().put("kind", kind)));
    }

    @When("{int} seconds pass")
    public void pass(int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(seconds);
    }

    @When("the platform lists the target {string} as leaving")
    public void leaving(String target) throws Exception {
        caller().hostList("PUT", "/hosts/" + target + "?state=leaving");
    }

    @Then("engine {int} gets no new work after {int} seconds")
    public void noNewWork(int engine, int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(seconds);
        long before = executions(engine).getLong("executions");
        for (int i = 0; i < 30; i++) {
            complete(2, i % DemoFleet.NODES);
            assertEquals(200, answer().statusCode(), answer().body());
        }
        assertEquals(before, executions(engine).getLong("executions"));
    }

    // Configuration.

    @Then("version {long} is in force on node {int}")
    public void inForce(long version, int node) throws Exception {
        await(
                "version " + version,
                () -> fleet().node(node).status().getLong("version") == version);
    }

    @When("the operators roll a next version")
    public void rollNext() throws Exception {
        fleet().roll(fleet().bundle(""));
    }

    @When("the operators roll a next version while an answer of the store is lost")
    public void rollWithLostAnswer() throws Exception {
        // Leases write as well, so several answers are lost until it is the roll's turn.
        fleet().store()
                .setFault(
                        StoreFault.fromJson(
                                new JsonObject().put("kind", "lost-answers").put("count", 8)));
        fleet().roll(fleet().bundle(""));
    }

    @Then("a second operator who rolls the same version is told who won")
    public void secondOperatorLoses() throws Exception {
        String stale = fleet().bundle("").replaceFirst("version = \\d+", "version = 1");
        Exception refused = null;
        try {
            fleet().roll(stale);
        } catch (Exception e) {
            refused = e;
        }
        assertTrue(
                refused != null && String.valueOf(refused.getMessage()).contains("rolled by demo"),
                String.valueOf(refused));
    }

    // Rates.

    @Then("of {int} quick requests of the small customer at most {int} are admitted")
    public void smallCustomer(int requests, int most) throws Exception {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            int status =
                    caller().post(i % DemoFleet.NODES, "/bookings", "{}", fleet().otherKey())
                            .statusCode();
            admitted += status == 200 ? 1 : 0;
            assertTrue(status == 200 || status == 429, "status " + status);
        }
        assertTrue(admitted >= 1 && admitted <= most, "admitted " + admitted);
    }
}
