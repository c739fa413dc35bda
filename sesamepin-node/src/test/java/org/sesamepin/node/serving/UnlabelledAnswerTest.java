package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.node.http.ResponseBody;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;

/** Checks answers without an id on the connections of the own API's calls. */
class UnlabelledAnswerTest {
    private static final int TIMEOUT_S = 10;
    private static final long REUSE_PAUSE_MS = 20;

    /** What a call received, and whether the protocol takes it for the call's own answer. */
    private record Taken(boolean isOwn, String body) {}

    private static Taken call(
            TargetClient client, Target target, TargetProtocol protocol, String id)
            throws Exception {
        RequestOptions options = TargetClient.requestOptions(target, HttpMethod.POST, "/x");
        protocol.prepare(options, target, id, null);
        options.putHeader("Id", id);
        return client.open(target, id, options, true)
                .compose(request -> request.send(Buffer.buffer("{}")))
                .compose(
                        response -> {
                            boolean isOwn =
                                    protocol.isResponseTo(id, response.getHeader("X-Request-Id"));
                            return ResponseBody.read(response, client.responseMemory())
                                    .map(body -> new Taken(isOwn, body.toString()));
                        })
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Guards against a late second answer without an id that the next caller gets as its own. */
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(strings = {"openai", "plain"})
    void lateSecondAnswerIsNotTheNextCalls(String name) throws Exception {
        TargetProtocol protocol = PluginRegistry.load().targetProtocol(name);
        Vertx vertx = Vertx.vertx();
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.readBody();
                    String late = RawTarget.response(200, "", "r1");
                    String own = RawTarget.response(200, "", id);
                    link.write(number == 1 ? own : late + own);
                };
        try (SocketTarget raw = new SocketTarget("t", script);
                TargetClient client = new TargetClient(vertx)) {
            Target target = new Target("t", "s", name, raw.instance().address(), "a", 8, "", false);
            call(client, target, protocol, "r1");
            AnswerPath.pause(REUSE_PAUSE_MS);
            Taken taken = call(client, target, protocol, "r2");
            assertFalse(taken.isOwn() && !taken.body().equals("r2"), taken.toString());
        } finally {
            vertx.close();
        }
    }
}
