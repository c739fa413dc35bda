package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import org.sesamepin.cli.DemoFleet;
import org.sesamepin.standin.store.StoreFault;

/** Cucumber steps for faults, configuration and rate limits. */
public class FaultSteps {

    private final FleetWorld mWorld;

    /** Creates the steps for a scenario's fleet. */
    public FaultSteps(FleetWorld world) {
        mWorld = world;
    }

    // Faults of engines, hosts and the store.

    @When("engine {int} is {string}")
    public void setEngineFault(int engine, String kind) throws Exception {
        mWorld.client()
                .setFault(mWorld.fleet().engineUrl(engine), new JsonObject().put("kind", kind));
    }

    @When("every engine is {string}")
    public void setFaultOnEveryEngine(String kind) throws Exception {
        for (int i = 0; i < FleetWorld.ENGINE_COUNT; i++) {
            setEngineFault(i, kind);
        }
    }

    @When("every engine dies of the word {string}")
    public void setPoisonWordOnEveryEngine(String word) throws Exception {
        for (int i = 0; i < FleetWorld.ENGINE_COUNT; i++) {
            JsonObject fault = new JsonObject().put("kind", "none").put("word", word);
            mWorld.client().setFault(mWorld.fleet().engineUrl(i), fault);
        }
    }

    @When("the host of node {int} is lost")
    public void killNode(int node) throws Exception {
        mWorld.fleet().killNode(node);
    }

    @When("node {int} is stopped as planned")
    public void stopNode(int node) throws Exception {
        mWorld.fleet().stopNode(node);
    }

    @When("node {int} is started again")
    public void startNode(int node) throws Exception {
        mWorld.fleet().startNode(node);
        mWorld.fleet().awaitReady();
    }

    @When("the store is {string}")
    public void setStoreFault(String kind) {
        mWorld.fleet().store().setFault(StoreFault.fromJson(new JsonObject().put("kind", kind)));
    }

    @When("{int} seconds pass")
    public void waitSeconds(int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(seconds);
    }

    @When("the platform lists the target {string} as leaving")
    public void listTargetAsLeaving(String target) throws Exception {
        mWorld.client().changeHostList("PUT", "/hosts/" + target + "?state=leaving");
    }

    @Then("engine {int} gets no new work after {int} seconds")
    public void engineGetsNoNewRequests(int engine, int seconds) throws Exception {
        TimeUnit.SECONDS.sleep(seconds);
        long executionsBefore = mWorld.getEngineExecutions(engine).getLong("executions");
        for (int i = 0; i < 30; i++) {
            String body = FleetClient.completionRequest("quote", 2, false).encode();
            int node = i % DemoFleet.NODE_COUNT;
            mWorld.setResponse(
                    mWorld.client()
                            .post(node, "/v1/completions", body, mWorld.fleet().highRateKey()));
            assertEquals(200, mWorld.response().statusCode(), mWorld.response().body());
        }
        assertEquals(executionsBefore, mWorld.getEngineExecutions(engine).getLong("executions"));
    }

    // Configuration.

    @Then("version {long} is in force on node {int}")
    public void versionIsActive(long version, int node) throws Exception {
        FleetWorld.await(
                "activation of version " + version,
                () -> mWorld.fleet().node(node).status().getLong("version") == version);
    }

    @When("the operators roll a next version")
    public void rollNextVersion() throws Exception {
        mWorld.fleet().roll(mWorld.fleet().nextBundleText(""));
    }

    @When("the operators roll a next version while an answer of the store is lost")
    public void rollNextVersionWithLostResponses() throws Exception {
        // Writes of leases lose their responses as well, so a count above one is needed for the
        // fault to reach the roll's own write.
        mWorld.fleet()
                .store()
                .setFault(
                        StoreFault.fromJson(
                                new JsonObject().put("kind", "lost-answers").put("count", 8)));
        mWorld.fleet().roll(mWorld.fleet().nextBundleText(""));
    }

    @Then("a second operator who rolls the same version is told who won")
    public void secondOperatorIsRejected() throws Exception {
        String alreadyRolledBundle =
                mWorld.fleet().nextBundleText("").replaceFirst("version = \\d+", "version = 1");
        Exception rejection = null;
        try {
            mWorld.fleet().roll(alreadyRolledBundle);
        } catch (Exception e) {
            rejection = e;
        }
        assertTrue(
                rejection != null
                        && String.valueOf(rejection.getMessage()).contains("rolled by demo"),
                String.valueOf(rejection));
    }

    // Rates.

    @Then("{int} quick requests of the small customer keep to rate {int} and burst {int}")
    public void requestsStayWithinRateAndBurst(int requests, int rate, int burst) throws Exception {
        int admitted = 0;
        long startNanos = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            int node = i % DemoFleet.NODE_COUNT;
            String key = mWorld.fleet().lowRateKey();
            int status = mWorld.client().post(node, "/bookings", "{}", key).statusCode();
            admitted += status == 200 ? 1 : 0;
            assertTrue(status == 200 || status == 429, "status " + status);
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        double maxAdmitted = rate * seconds + burst;
        assertTrue(
                admitted >= 1 && admitted <= maxAdmitted,
                "admitted " + admitted + ", limit " + maxAdmitted);
    }
}
