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
import org.sesamepin.standin.KeyLeakCounter;
import org.sesamepin.standin.StandInServer;

/**
 * Stand-in for a model engine: continuous batching over a fixed number of slots and a bounded KV
 * cache, in FIFO order without priorities. It serves OpenAI-style calls and load reports that lag
 * behind the actual load, cancels a request by {@code X-Request-Id} or when its connection closes,
 * and resumes a stream after the event named by {@code Last-Event-ID}.
 *
 * <p>{@code POST /standin/faults} sets a fault. {@code die} resets all requests and closes the
 * connection of each new call until the fault {@code none} is set. {@code silent} stops sending
 * responses on the connections that are open at that moment, while new connections work. {@code
 * crossed} sends the next response under a wrong request id. {@code no-resume} answers a call that
 * resumes a stream with status 404, and {@code restart} with the stream from its start. The member
 * {@code word} sets a poison word: a prompt that contains it ends the engine, which starts again
 * after a short time.
 */
public final class EngineStandIn extends StandInServer {
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int POISON_DOWNTIME_MS = 300;

    private final EngineSettings mSettings;
    private final Deque<Generation> mQueue = new ArrayDeque<>();
    private final List<Generation> mActive = new ArrayList<>();
    private final Map<String, Long> mExecutionsByRequestId = new TreeMap<>();
    private final Set<HttpConnection> mOpenConnections = new HashSet<>();
    private final Set<HttpConnection> mUnresponsiveConnections = new HashSet<>();
    private final KeyLeakCounter mKeyLeakCounter = new KeyLeakCounter();
    private final long mStepTimer;
    private final long mReportTimer;
    private JsonObject mLoadReport = new JsonObject().put("active", 0).put("queued", 0);
    private String mFault = "none";
    private String mPoisonWord = "";
    private long mExecutionCount;
    private long mPoisonedCount;
    private long mCompletedCount;
    private long mCancelledCount;
    private long mBusySlotSteps;
    private long mStepCount;

    /** Creates an idle engine. */
    public EngineStandIn(Vertx vertx, InetSocketAddress address, EngineSettings settings) {
        super(vertx, address);
        mSettings = settings;
        mStepTimer = vertx.setPeriodic(settings.tokenMs(), t -> runStep());
        mReportTimer =
                vertx.setPeriodic(Math.max(1, settings.reportLagMs()), t -> refreshLoadReport());
    }

    @Override
    protected void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> handle(request, body));
    }

    private synchronized void handle(HttpServerRequest request, Buffer body) {
        HttpConnection connection = request.connection();
        if (mUnresponsiveConnections.contains(connection)) {
            return;
        }
        if (mOpenConnections.add(connection)) {
            connection.closeHandler(v -> removeConnection(connection));
        }
        switch (request.path()) {
            case "/standin/faults" -> setFault(request, parseJsonObject(body));
            case "/standin/executions" -> respond(request, 200, executionReport());
            case "/load" -> runUnlessDown(request, () -> respond(request, 200, mLoadReport));
            case "/v1/cancel" -> cancel(request, parseJsonObject(body));
            case "/v1/chat/completions" -> generate(request, body, true);
            case "/v1/completions" -> generate(request, body, false);
            default -> respond(request, 404, new JsonObject().put("error", "unknown path"));
        }
    }

    private synchronized void removeConnection(HttpConnection connection) {
        mOpenConnections.remove(connection);
        mUnresponsiveConnections.remove(connection);
    }

    private void setFault(HttpServerRequest request, JsonObject fault) {
        mFault = fault.getString("kind", "none");
        mPoisonWord = fault.getString("word", "");
        respond(request, 200, new JsonObject());
        if (mFault.equals("die")) {
            resetAllRequests();
        }
        if (mFault.equals("silent")) {
            mFault = "none";
            mUnresponsiveConnections.addAll(mOpenConnections);
        }
    }

    private void runUnlessDown(HttpServerRequest request, Runnable action) {
        if (mFault.equals("die")) {
            request.connection().close();
            return;
        }
        action.run();
    }

    private JsonObject executionReport() {
        return new JsonObject()
                .put("executions", mExecutionCount)
                .put("poisoned", mPoisonedCount)
                .put("completed", mCompletedCount)
                .put("cancelled", mCancelledCount)
                .put("busy_slot_steps", mBusySlotSteps)
                .put("steps", mStepCount)
                .put("by_request", new JsonObject(new TreeMap<>(mExecutionsByRequestId)))
                .put("key_sightings", mKeyLeakCounter.count());
    }

    private void generate(HttpServerRequest request, Buffer body, boolean chat) {
        mKeyLeakCounter.inspect(request, body);
        if (mFault.equals("die")) {
            request.connection().close();
            return;
        }
        JsonObject requestJson = parseJsonObject(body);
        if (!mSettings.model().equals(requestJson.getString("model"))) {
            JsonObject error =
                    new JsonObject().put("error", "the model is not loaded on this engine");
            respond(request, 404, error);
            return;
        }
        Object prompt = requestJson.getValue(chat ? "messages" : "prompt");
        if (prompt == null) {
            respond(request, 400, new JsonObject().put("error", "the prompt is missing"));
            return;
        }
        if (!mPoisonWord.isEmpty() && prompt.toString().contains(mPoisonWord)) {
            mPoisonedCount++;
            resetAllRequests();
            restartAfter(POISON_DOWNTIME_MS);
            return;
        }
        enqueue(request, requestJson, prompt.toString(), chat);
    }

    private void enqueue(
            HttpServerRequest request, JsonObject requestJson, String prompt, boolean chat) {
        String requestIdHeader = request.getHeader("X-Request-Id");
        String lastEventId = request.getHeader("Last-Event-ID");
        if (lastEventId != null && mFault.equals("no-resume")) {
            request.response().putHeader("X-Request-Id", String.valueOf(requestIdHeader));
            respond(request, 404, new JsonObject().put("error", "there is no such stream"));
            return;
        }
        boolean resumes = lastEventId != null && !mFault.equals("restart");
        int resumeOffset = resumes ? Integer.parseInt(lastEventId) : 0;
        int maxTokens = requestJson.getInteger("max_tokens", DEFAULT_MAX_TOKENS);
        boolean stream = Boolean.TRUE.equals(requestJson.getBoolean("stream"));
        String requestId = requestIdHeader == null ? "none" : requestIdHeader;
        Generation generation =
                new Generation(
                        requestId,
                        mSettings.model(),
                        prompt,
                        maxTokens,
                        stream,
                        chat,
                        resumeOffset);
        generation.attachTo(request);
        if (resumeOffset == 0) {
            mExecutionCount++;
            mExecutionsByRequestId.merge(requestId, 1L, Long::sum);
        }
        request.response().closeHandler(v -> onCallerDisconnected(generation));
        request.response().exceptionHandler(e -> onCallerDisconnected(generation));
        mQueue.add(generation);
        admitQueuedRequests();
    }

    private synchronized void onCallerDisconnected(Generation generation) {
        if (mActive.remove(generation) || mQueue.remove(generation)) {
            mCancelledCount++;
            admitQueuedRequests();
        }
    }

    private void cancel(HttpServerRequest request, JsonObject requestJson) {
        String requestId = requestJson.getString("request_id", "");
        boolean found = mActive.removeIf(g -> g.requestId().equals(requestId));
        found |= mQueue.removeIf(g -> g.requestId().equals(requestId));
        if (found) {
            mCancelledCount++;
            admitQueuedRequests();
        }
        respond(request, 200, new JsonObject().put("cancelled", found));
    }

    private void admitQueuedRequests() {
        while (!mQueue.isEmpty() && mActive.size() < mSettings.slots()) {
            Generation next = mQueue.element();
            if (usedKvTokens() + next.kvTokens() > mSettings.kvTokens() && !mActive.isEmpty()) {
                return;
            }
            mQueue.remove();
            mActive.add(next);
        }
    }

    private long usedKvTokens() {
        return mActive.stream().mapToLong(Generation::kvTokens).sum();
    }

    private synchronized void runStep() {
        mStepCount++;
        mBusySlotSteps += mActive.size();
        if (mFault.equals("die")) {
            return;
        }
        for (Iterator<Generation> it = mActive.iterator(); it.hasNext(); ) {
            Generation generation = it.next();
            if (mUnresponsiveConnections.contains(generation.connection())) {
                continue;
            }
            boolean last = generation.generateToken();
            sendToken(generation, last);
            if (last) {
                it.remove();
                mCompletedCount++;
            }
        }
        admitQueuedRequests();
    }

    private void sendToken(Generation generation, boolean last) {
        HttpServerResponse response = generation.response();
        if (response == null || response.closed() || response.ended()) {
            return;
        }
        if (generation.isStream()) {
            if (!response.headWritten()) {
                putRequestIdHeader(response, generation)
                        .setChunked(true)
                        .putHeader("Content-Type", "text/event-stream");
            }
            response.write(generation.lastTokenEvent());
            if (last) {
                response.end(generation.doneEvent());
            }
        } else if (last) {
            putRequestIdHeader(response, generation)
                    .putHeader("Content-Type", "application/json")
                    .end(generation.completeResponse().toBuffer());
        }
    }

    private HttpServerResponse putRequestIdHeader(
            HttpServerResponse response, Generation generation) {
        String requestId = generation.requestId();
        if (mFault.equals("crossed")) {
            mFault = "none";
            requestId = "crossed-" + requestId;
        }
        return response.putHeader("X-Request-Id", requestId);
    }

    private synchronized void refreshLoadReport() {
        mLoadReport =
                new JsonObject()
                        .put("active", mActive.size())
                        .put("queued", mQueue.size())
                        .put("slots", mSettings.slots())
                        .put("kv_used", usedKvTokens());
    }

    private void resetAllRequests() {
        List<Generation> generations = new ArrayList<>(mActive);
        generations.addAll(mQueue);
        mActive.clear();
        mQueue.clear();
        for (Generation generation : generations) {
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
