package org.sesamepin.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sesamepin.standin.KeySightings;
import org.sesamepin.standin.StandInServer;

/**
 * Stand-in of a model engine: continuous batching over a fixed number of slots and a bounded KV
 * cache, first come first served and without priorities, OpenAI-style calls, load reports that lag,
 * cancel by {@code X-Request-Id} or by closing the connection, and resume by {@code Last-Event-ID}.
 *
 * <p>Faults by {@code POST /standin/faults}: {@code die} closes every connection and refuses new
 * calls until {@code none}; {@code silent} stops answering on the connections that are open now,
 * while new ones work; {@code crossed} gives the next answer under a wrong request id; {@code
 * poison} dies for a moment whenever a prompt holds the word given.
 */
public final class EngineStandIn extends StandInServer {
    private static final int DEFAULT_TOKENS = 16;
    private static final int POISON_DOWN_MS = 300;

    private final EngineSettings mSettings;
    private final Deque<Generation> mQueue = new ArrayDeque<>();
    private final List<Generation> mActive = new ArrayList<>();
    private final Map<String, Long> mStarted = new TreeMap<>();
    private final Set<HttpConnection> mOpen = new HashSet<>();
    private final Set<HttpConnection> mSilent = new HashSet<>();
    private final KeySightings mKeySightings = new KeySightings();
    private final long mStepTimer;
    private final long mReportTimer;
    private JsonObject mReport = new JsonObject().put("active", 0).put("queued", 0);
    private String mFault = "none";
    private String mPoison = "";
    private long mExecutions;
    private long mCompleted;
    private long mCancelled;
    private long mBusySlotSteps;
    private long mSteps;

    /** Creates an idle engine. */
    public EngineStandIn(Vertx vertx, InetSocketAddress address, EngineSettings settings) {
        super(vertx, address);
        mSettings = settings;
        mStepTimer = vertx.setPeriodic(settings.tokenMs(), t -> step());
        mReportTimer = vertx.setPeriodic(Math.max(1, settings.reportLagMs()), t -> refreshReport());
    }

    @Override
    protected void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> handle(request, body));
    }

    private synchronized void handle(HttpServerRequest request, Buffer body) {
        HttpConnection connection = request.connection();
        if (mSilent.contains(connection)) {
            return;
        }
        if (mOpen.add(connection)) {
            connection.closeHandler(v -> forget(connection));
        }
        switch (request.path()) {
            case "/standin/faults" -> setFault(request, json(body));
            case "/standin/executions" -> answer(request, 200, executions());
            case "/load" -> whenAlive(request, () -> answer(request, 200, mReport));
            case "/v1/cancel" -> cancel(request, json(body));
            case "/v1/chat/completions" -> generate(request, body, true);
            case "/v1/completions" -> generate(request, body, false);
            default -> answer(request, 404, new JsonObject().put("error", "no such call"));
        }
    }

    private synchronized void forget(HttpConnection connection) {
        mOpen.remove(connection);
        mSilent.remove(connection);
    }

    private void setFault(HttpServerRequest request, JsonObject fault) {
        mFault = fault.getString("kind", "none");
        mPoison = fault.getString("word", "");
        answer(request, 200, new JsonObject());
        if (mFault.equals("die")) {
            dropAll();
        }
        if (mFault.equals("silent")) {
            mFault = "none";
            mSilent.addAll(mOpen);
        }
    }

    private void whenAlive(HttpServerRequest request, Runnable action) {
        if (mFault.equals("die")) {
            request.connection().close();
            return;
        }
        action.run();
    }

    private JsonObject executions() {
        return new JsonObject()
                .put("executions", mExecutions)
                .put("completed", mCompleted)
                .put("cancelled", mCancelled)
                .put("busy_slot_steps", mBusySlotSteps)
                .put("steps", mSteps)
                .put("by_request", new JsonObject(new TreeMap<>(mStarted)))
                .put("key_sightings", mKeySightings.count());
    }

    private void generate(HttpServerRequest request, Buffer body, boolean chat) {
        mKeySightings.look(request, body);
        if (mFault.equals("die")) {
            request.connection().close();
            return;
        }
        JsonObject call = json(body);
        if (!mSettings.model().equals(call.getString("model"))) {
            JsonObject error = new JsonObject().put("error", "model not loaded here");
            answer(request, 404, error);
            return;
        }
        Object prompt = call.getValue(chat ? "messages" : "prompt");
        if (prompt == null) {
            answer(request, 400, new JsonObject().put("error", "no prompt"));
            return;
        }
        if (!mPoison.isEmpty() && prompt.toString().contains(mPoison)) {
            dieForAMoment();
            request.connection().close();
            return;
        }
        enqueue(request, call, prompt.toString(), chat);
    }

    private void enqueue(HttpServerRequest request, JsonObject call, String prompt, boolean chat) {
        String id = request.getHeader("X-Request-Id");
        String offset = request.getHeader("Last-Event-ID");
        int from = offset == null ? 0 : Integer.parseInt(offset);
        int tokens = call.getInteger("max_tokens", DEFAULT_TOKENS);
        boolean stream = Boolean.TRUE.equals(call.getBoolean("stream"));
        String requestId = id == null ? "none" : id;
        Generation generation =
                new Generation(requestId, mSettings.model(), prompt, tokens, stream, chat, from);
        generation.attach(request);
        if (from == 0) {
            mExecutions++;
            mStarted.merge(requestId, 1L, Long::sum);
        }
        request.response().closeHandler(v -> abandon(generation));
        request.response().exceptionHandler(e -> abandon(generation));
        mQueue.add(generation);
        admit();
    }

    private synchronized void abandon(Generation generation) {
        if (mActive.remove(generation) || mQueue.remove(generation)) {
            mCancelled++;
            admit();
        }
    }

    private void cancel(HttpServerRequest request, JsonObject call) {
        String id = call.getString("request_id", "");
        boolean known = mActive.removeIf(g -> g.requestId().equals(id));
        known |= mQueue.removeIf(g -> g.requestId().equals(id));
        if (known) {
            mCancelled++;
            admit();
        }
        answer(request, 200, new JsonObject().put("cancelled", known));
    }

    private void admit() {
        while (!mQueue.isEmpty() && mActive.size() < mSettings.slots()) {
            Generation next = mQueue.element();
            if (kvUsed() + next.kvTokens() > mSettings.kvTokens() && !mActive.isEmpty()) {
                return;
            }
            mQueue.remove();
            mActive.add(next);
        }
    }

    private long kvUsed() {
        return mActive.stream().mapToLong(Generation::kvTokens).sum();
    }

    private synchronized void step() {
        mSteps++;
        mBusySlotSteps += mActive.size();
        if (mFault.equals("die")) {
            return;
        }
        for (Iterator<Generation> it = mActive.iterator(); it.hasNext(); ) {
            Generation generation = it.next();
            if (mSilent.contains(generation.connection())) {
                continue;
            }
            boolean last = generation.step();
            deliver(generation, last);
            if (last) {
                it.remove();
                mCompleted++;
            }
        }
        admit();
    }

    private void deliver(Generation generation, boolean last) {
        HttpServerResponse response = generation.response();
        if (response == null || response.closed() || response.ended()) {
            return;
        }
        if (generation.stream()) {
            if (!response.headWritten()) {
                head(response, generation)
                        .setChunked(true)
                        .putHeader("Content-Type", "text/event-stream");
            }
            response.write(generation.event());
            if (last) {
                response.end("data: [DONE]\n\n");
            }
        } else if (last) {
            head(response, generation)
                    .putHeader("Content-Type", "application/json")
                    .end(generation.whole().toBuffer());
        }
    }

    private HttpServerResponse head(HttpServerResponse response, Generation generation) {
        String id = generation.requestId();
        if (mFault.equals("crossed")) {
            mFault = "none";
            id = "crossed-" + id;
        }
        return response.putHeader("X-Request-Id", id);
    }

    private synchronized void refreshReport() {
        mReport =
                new JsonObject()
                        .put("active", mActive.size())
                        .put("queued", mQueue.size())
                        .put("slots", mSettings.slots())
                        .put("kv_used", kvUsed());
    }

    private void dieForAMoment() {
        String before = mFault;
        mFault = "die";
        dropAll();
        mVertx.setTimer(POISON_DOWN_MS, t -> endDeath(before));
    }

    private synchronized void endDeath(String before) {
        if (mFault.equals("die")) {
            mFault = before;
        }
    }

    private void dropAll() {
        List<Generation> all = new ArrayList<>(mActive);
        all.addAll(mQueue);
        mActive.clear();
        mQueue.clear();
        for (Generation generation : all) {
            @Nullable HttpServerResponse response = generation.response();
            if (response != null) {
                response.reset();
            }
        }
    }

    @Override
    public void close() throws Exception {
        mVertx.cancelTimer(mStepTimer);
        mVertx.cancelTimer(mReportTimer);
        super.close();
    }
}
