package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetRateLimits;
import org.sesamepin.node.http.Problem;

/**
 * A protocol with the headers Id, From, After, Part, Signed, Not-Run, Events, Leaving and Mark,
 * whose stored configuration is only a version of one that is given, and whose targets register as
 * {@link StandInTargets} does.
 */
final class PlainProtocol implements FleetProtocol {
    private static final String EVACUATION_PREFIX = "config/evacuate/";

    private final ServingConfig mConfig;
    private final String mSender;
    private final UnaryOperator<InetSocketAddress> mPath;

    PlainProtocol(ServingConfig config) {
        this(config, "", address -> address);
    }

    /**
     * Creates the protocol of one host.
     *
     * @param sender name that targets receive with each request; may be empty
     * @param path returns the address at which the host finds a target that listens at another one
     */
    PlainProtocol(ServingConfig config, String sender, UnaryOperator<InetSocketAddress> path) {
        mConfig = config;
        mSender = sender;
        mPath = path;
    }

    @Override
    public String configPrefix() {
        return "config/";
    }

    @Override
    public boolean isConfig(String key) {
        return key.equals("config/c");
    }

    @Override
    public @Nullable String evacuatedDomain(String key) {
        return key.startsWith(EVACUATION_PREFIX) ? key.substring(EVACUATION_PREFIX.length()) : null;
    }

    @Override
    public String targetPrefix() {
        return "targets/";
    }

    @Override
    public ServingConfig decodeConfig(byte[] value) {
        long version = Long.parseLong(new String(value, StandardCharsets.UTF_8));
        return new ServingConfig(
                version,
                List.copyOf(mConfig.routes().values()),
                List.copyOf(mConfig.services()),
                null,
                mConfig.connectionLimits());
    }

    @Override
    public TargetInstance decodeTarget(String key, byte[] value) {
        TargetInstance target = StandInTargets.decode(new String(value, StandardCharsets.UTF_8));
        return new TargetInstance(
                target.id(),
                target.startedAtMs(),
                target.service(),
                target.version(),
                mPath.apply(target.address()),
                target.failureDomain(),
                target.slots(),
                target.state(),
                target.warmUpMs());
    }

    @Override
    public MultiMap requestHeaders(
            CallHead head,
            TargetInstance target,
            @Nullable String customer,
            long budgetMs,
            @Nullable String resumeAfter) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("Id", head.id());
        headers.add("From", mSender);
        headers.add("Part", head.prompt().shared());
        return resumeAfter == null ? headers : headers.add("After", resumeAfter);
    }

    @Override
    public PromptParts promptParts(MultiMap headers) {
        return new PromptParts(headers.getAll("Part"));
    }

    @Override
    public void sendProblem(HttpServerResponse response, Problem problem, String requestId) {
        response.putHeader("Problem", problem.type().label())
                .setStatusCode(problem.type().status())
                .end();
    }

    @Override
    public ResponseHead readResponseHead(HttpClientResponse response) {
        return new ResponseHead(
                response.statusCode(),
                response.getHeader("Id"),
                response.getHeader("Not-Run") != null,
                response.getHeader("Signed") != null,
                false,
                response.getHeader("Events") != null,
                response.getHeader("Leaving") != null,
                readLimit(response.getHeader("Limit")),
                forwardedHeaders(response));
    }

    private static MultiMap forwardedHeaders(HttpClientResponse response) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        String mark = response.getHeader("Mark");
        return mark == null ? headers : headers.add("Mark", mark);
    }

    private static double readLimit(@Nullable String text) {
        return text == null ? TargetRateLimits.NO_LIMIT : Double.parseDouble(text);
    }
}
