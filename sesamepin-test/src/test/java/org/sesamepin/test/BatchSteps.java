package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Cucumber steps for batch jobs. */
public class BatchSteps {
    private String mFileId = "";
    private String mJobId = "";

    private final FleetWorld mWorld;

    /** Creates the steps for a scenario's fleet. */
    public BatchSteps(FleetWorld world) {
        mWorld = world;
    }

    // Batch jobs.

    @When("a customer submits a job of {int} items of {int} tokens through node {int}")
    public void submitJob(int items, int tokens, int node) throws Exception {
        HttpResponse<String> file =
                mWorld.client()
                        .post(
                                node,
                                "/v1/files",
                                FleetClient.batchInput(items, "sheet", tokens),
                                mWorld.fleet().highRateKey());
        assertEquals(200, file.statusCode(), file.body());
        mFileId = new JsonObject(file.body()).getString("id");
        mJobId = createJob(node);
    }

    private String createJob(int node) throws Exception {
        JsonObject jobRequest =
                new JsonObject()
                        .put("input_file_id", mFileId)
                        .put("endpoint", "/v1/completions")
                        .put("completion_window", "24h");
        HttpResponse<String> job =
                mWorld.client()
                        .post(
                                node,
                                "/v1/batches",
                                jobRequest.encode(),
                                mWorld.fleet().highRateKey());
        assertEquals(200, job.statusCode(), job.body());
        return new JsonObject(job.body()).getString("id");
    }

    @When("the customer sends the same job again through node {int}")
    public void resubmitJob(int node) throws Exception {
        assertEquals(mJobId, createJob(node));
    }

    private JsonObject getJob(int node) throws Exception {
        return new JsonObject(
                mWorld.client()
                        .get(node, "/v1/batches/" + mJobId, mWorld.fleet().highRateKey())
                        .body());
    }

    @When("{int} of its items are complete")
    public void awaitCompletedItems(int items) throws Exception {
        FleetWorld.await(
                "the number of completed items",
                () -> getJob(0).getJsonObject("request_counts").getInteger("completed") >= items);
    }

    @When("the customer cancels it through node {int}")
    public void cancelJob(int node) throws Exception {
        mWorld.setResponse(
                mWorld.client()
                        .post(
                                node,
                                "/v1/batches/" + mJobId + "/cancel",
                                "",
                                mWorld.fleet().highRateKey()));
        assertEquals(200, mWorld.response().statusCode(), mWorld.response().body());
    }

    @Then("no item of it starts after the answer")
    public void noItemStarts() throws Exception {
        long startedBefore = mWorld.countStartedRequests();
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertEquals(
                startedBefore,
                mWorld.countStartedRequests(),
                "items started after the response to the cancellation");
    }

    @Then("the job ends as {string} with {int} results and {int} errors through node {int}")
    public void jobEndsWithResults(String status, int results, int errors, int node)
            throws Exception {
        FleetWorld.await("the job to end", () -> status.equals(getJob(node).getString("status")));
        JsonObject endedJob = getJob(node);
        String output = downloadFile(node, endedJob.getString("output_file_id"));
        String errorOutput = downloadFile(node, endedJob.getString("error_file_id"));
        assertEquals(results, nonEmptyLines(output).size(), output);
        assertEquals(errors, nonEmptyLines(errorOutput).size(), errorOutput);
        Set<String> customIds = new HashSet<>();
        nonEmptyLines(output)
                .forEach(line -> customIds.add(new JsonObject(line).getString("custom_id")));
        nonEmptyLines(errorOutput)
                .forEach(line -> customIds.add(new JsonObject(line).getString("custom_id")));
        assertEquals(results + errors, customIds.size(), "an item has two results");
    }

    @Then("the job ends as {string} through node {int}")
    public void jobEndsWithStatus(String status, int node) throws Exception {
        FleetWorld.await("the job to end", () -> status.equals(getJob(node).getString("status")));
    }

    private String downloadFile(int node, String file) throws Exception {
        return mWorld.client()
                .get(node, "/v1/files/" + file + "/content", mWorld.fleet().highRateKey())
                .body();
    }

    private static List<String> nonEmptyLines(String text) {
        return text.lines().filter(l -> !l.isEmpty()).toList();
    }
}
