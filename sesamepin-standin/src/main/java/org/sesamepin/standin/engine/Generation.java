package org.sesamepin.standin.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * State of one request in the stand-in engine. The generated tokens are computed from their index
 * and the prompt, so that a test can distinguish a complete response from a truncated one and from
 * the response to another request.
 */
final class Generation {
    /** Line ends of the streams; engines differ in which one they use. */
    private static final List<String> LINE_ENDS = List.of("\n", "\r\n", "\r");

    /** Number of events from one comment between them to the next. */
    private static final int COMMENT_INTERVAL = 8;

    private final String mRequestId;
    private final String mModel;
    private final String mPromptHash;
    private final int mMaxTokens;
    private final String mLineEnd;
    private final boolean mStream;
    private final boolean mChat;
    private final long mKvTokens;
    private int mGeneratedTokens;
    private @Nullable HttpConnection mConnection;
    private @Nullable HttpServerResponse mResponse;

    Generation(
            String requestId,
            String model,
            String prompt,
            int tokens,
            boolean stream,
            boolean chat,
            int fromOffset) {
        mRequestId = requestId;
        mModel = model;
        mPromptHash = Integer.toHexString(prompt.hashCode());
        mMaxTokens = tokens;
        mLineEnd = LINE_ENDS.get(Math.floorMod(requestId.hashCode(), LINE_ENDS.size()));
        mStream = stream;
        mChat = chat;
        mKvTokens = prompt.length() / 4 + tokens;
        mGeneratedTokens = fromOffset;
    }

    String requestId() {
        return mRequestId;
    }

    long kvTokens() {
        return mKvTokens;
    }

    boolean isStream() {
        return mStream;
    }

    int generatedTokens() {
        return mGeneratedTokens;
    }

    void attachTo(HttpServerRequest request) {
        mConnection = request.connection();
        mResponse = request.response();
    }

    @Nullable HttpConnection connection() {
        return mConnection;
    }

    @Nullable HttpServerResponse response() {
        return mResponse;
    }

    /** Generates the next token; returns whether it was the last one. */
    boolean generateToken() {
        mGeneratedTokens++;
        return mGeneratedTokens >= mMaxTokens;
    }

    /** Returns the server-sent event for the token that was generated last, some with a comment. */
    Buffer lastTokenEvent() {
        int index = mGeneratedTokens - 1;
        JsonObject chunk = envelope(mChat ? "chat.completion.chunk" : "text_completion");
        boolean last = mGeneratedTokens >= mMaxTokens;
        chunk.put("choices", new JsonArray().add(choice(tokenText(index), true, last)));
        String comment = mGeneratedTokens % COMMENT_INTERVAL == 0 ? ": ping\n\n" : "";
        return event(comment + "id: " + mGeneratedTokens + "\ndata: " + chunk.encode() + "\n\n");
    }

    /** Returns the server-sent event that ends a stream. */
    Buffer doneEvent() {
        return event("data: [DONE]\n\n");
    }

    private Buffer event(String lines) {
        return Buffer.buffer(lines.replace("\n", mLineEnd));
    }

    /** Returns the body of the complete response to a request without streaming. */
    JsonObject completeResponse() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < mMaxTokens; i++) {
            text.append(tokenText(i));
        }
        return envelope(mChat ? "chat.completion" : "text_completion")
                .put("choices", new JsonArray().add(choice(text.toString(), false, true)))
                .put("usage", new JsonObject().put("completion_tokens", mMaxTokens));
    }

    private JsonObject envelope(String object) {
        return new JsonObject().put("id", mRequestId).put("object", object).put("model", mModel);
    }

    private JsonObject choice(String text, boolean delta, boolean last) {
        JsonObject choice = new JsonObject().put("index", 0);
        if (mChat) {
            JsonObject message = new JsonObject().put("role", "assistant").put("content", text);
            choice.put(delta ? "delta" : "message", message);
        } else {
            choice.put("text", text);
        }
        return choice.put("finish_reason", last ? "stop" : null);
    }

    private String tokenText(int index) {
        return "w" + index + "-" + mPromptHash + (index == mMaxTokens - 1 ? "." : " ");
    }
}
