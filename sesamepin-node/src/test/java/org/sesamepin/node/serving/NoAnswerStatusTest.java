package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a status which callers cannot read as that of an answer is not forwarded: after a
 * status below 200 they wait for another one, and a status line needs three digits.
 */
class NoAnswerStatusTest {
    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 20, 99, 101, 102, 199, 1_000})
    void statusThatIsNoAnswersEndsTheAttempt(int status) throws Exception {
        String response = RawTarget.response(status, "Id: r1|Signed: 1", "text");
        RawTarget target =
                new RawTarget(mVertx, "t", (socket, head, number) -> socket.write(response));
        mFixture.state().setTargets(List.of(target.instance()));
        AttemptRecorder recorder = new AttemptRecorder();
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        AttemptRecorder.headOf("r1"),
                        Buffer.buffer("{}"),
                        null,
                        5_000,
                        null,
                        false,
                        false,
                        0);
        mVertx.runOnContext(
                v ->
                        new TargetAttempt(mFixture.context(), target.instance(), plan, recorder)
                                .start());
        assertEquals("broken", recorder.end().get(10, TimeUnit.SECONDS));
    }
}
