package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamepin.cli.DemoFleet;

/** Cucumber steps for prompts under which engines end. */
public class PromptSteps {
    private static final int TOKENS = 2;

    private final FleetWorld mWorld;
    private List<Integer> mStatuses = List.of();

    /** Creates the steps for a scenario's fleet. */
    public PromptSteps(FleetWorld world) {
        mWorld = world;
    }

    private HttpResponse<String> post(int node, String path, JsonObject call) throws Exception {
        return mWorld.client().post(node, path, call.encode(), mWorld.fleet().highRateKey());
    }

    private void sendOneAfterTheOther(int callers, String path, JsonObject call, int intervalMs)
            throws Exception {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            statuses.add(post(i % DemoFleet.NODE_COUNT, path, call).statusCode());
            TimeUnit.MILLISECONDS.sleep(intervalMs);
        }
        mStatuses = statuses;
    }

    @When("{int} callers ask for {string}, one each {int} ms")
    public void ask(int callers, String prompt, int intervalMs) throws Exception {
        JsonObject call = FleetClient.completionRequest(prompt, TOKENS, false);
        sendOneAfterTheOther(callers, "/v1/completions", call, intervalMs);
    }

    @When("{int} callers chat {string} and {string}, one each {int} ms")
    public void chat(int callers, String system, String user, int intervalMs) throws Exception {
        JsonArray messages =
                new JsonArray()
                        .add(new JsonObject().put("role", "system").put("content", system))
                        .add(new JsonObject().put("role", "user").put("content", user));
        JsonObject call = FleetClient.completionRequest("", TOKENS, false);
        call.remove("prompt");
        call.put("messages", messages);
        sendOneAfterTheOther(callers, "/v1/chat/completions", call, intervalMs);
    }

    @When("a caller asks node {int} for {string}")
    public void askNode(int node, String prompt) throws Exception {
        JsonObject call = FleetClient.completionRequest(prompt, TOKENS, false);
        mWorld.setResponse(post(node, "/v1/completions", call));
    }

    @Then("all of them are answered")
    public void allAnswered() {
        for (int status : mStatuses) {
            assertEquals(200, status, "statuses " + mStatuses);
        }
    }

    @Then("the engines have started {int} requests")
    public void enginesStarted(int requests) throws Exception {
        assertEquals(requests, mWorld.countStartedRequests());
    }

    @Then("the engines have ended at most {int} times")
    public void enginesEndedAtMost(int times) throws Exception {
        long ended = 0;
        for (int i = 0; i < FleetWorld.ENGINE_COUNT; i++) {
            ended += mWorld.getEngineExecutions(i).getLong("poisoned");
        }
        assertTrue(ended <= times, "engines ended " + ended + " times");
    }
}
