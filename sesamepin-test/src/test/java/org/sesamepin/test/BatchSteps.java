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

/** Steps about batch jobs. */
public class BatchSteps {
    private String mFile = "";
    private String mJob = "";

    private final FleetWorld mWorld;

    /** Creates the steps over a scenario's fleet. */
    public BatchSteps(FleetWorld world) {
        mWorld = world;
    }

    // Batch jobs.

    @When("a customer submits a job of {int} items of {int} tokens through node {int}")
    public void submit(int items, int tokens, int node) throws Exception {
        HttpResponse<String> file =
                mWorld.caller()
                        .post(
                                node,
                                "/v1/files",
                                FleetCaller.items(items, "sheet", tokens),
                                mWorld.fleet().key());
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
                mWorld.caller().post(node, "/v1/batches", create.encode(), mWorld.fleet().key());
        assertEquals(200, job.statusCode(), job.body());
        return new JsonObject(job.body()).getString("id");
    }

    @When("the customer sends the same job again through node {int}")
    public void resubmit(int node) throws Exception {
        assertEquals(mJob, createJob(node));
    }

    private JsonObject job(int node) throws Exception {
        return new JsonObject(
                mWorld.caller().get(node, "/v1/batches/" + mJob, mWorld.fleet().key()).body());
    }

    @When("{int} of its items are complete")
    public void someComplete(int items) throws Exception {
        FleetWorld.await(
                "some items to complete",
                () -> job(0).getJsonObject("request_counts").getInteger("completed") >= items);
    }

    @When("the customer cancels it through node {int}")
    public void cancelJob(int node) throws Exception {
        mWorld.setAnswer(
                mWorld.caller()
                        .post(node, "/v1/batches/" + mJob + "/cancel", "", mWorld.fleet().key()));
        assertEquals(200, mWorld.answer().statusCode(), mWorld.answer().body());
    }

    @Then("no item of it starts after the answer")
    public void nothingStarts() throws Exception {
        long before = mWorld.started();
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertEquals(before, mWorld.started(), "items started after the cancel was answered");
    }

    @Then("the job ends as {string} with {int} results and {int} errors through node {int}")
    public void jobEnds(String status, int results, int errors, int node) throws Exception {
        FleetWorld.await("the job to end", () -> status.equals(job(node).getString("status")));
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
        FleetWorld.await("the job to end", () -> status.equals(job(node).getString("status")));
    }

    private String content(int node, String file) throws Exception {
        return mWorld.caller()
                .get(node, "/v1/files/" + file + "/content", mWorld.fleet().key())
                .body();
    }

    private static List<String> lines(String text) {
        return text.lines().filter(l -> !l.isEmpty()).toList();
    }
}
