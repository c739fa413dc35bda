package org.sesamepin.node.prompt;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vertx.core.json.DecodeException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.node.http.JsonFields;

/**
 * What this system uses of the body of an OpenAI-style call. Of its texts, the first are kept one
 * by one and the others as one.
 */
public final class CompletionBody {
    /** Texts that become parts of their own, see {@link PromptParts#ofContent}. */
    private static final int MAX_SINGLE_TEXTS = 15;

    private final Texts mMessages = new Texts();
    private @Nullable String mPrompt;
    private @Nullable String mModel;
    private @Nullable Object mMaxTokens;
    private boolean mIsStreaming;
    private PromptParts mParts = PromptParts.NONE;

    /** The texts of a call, at most one more than those that become parts of their own. */
    private static final class Texts {
        private final List<String> mFirst = new ArrayList<>();
        private StringBuilder mOthers = new StringBuilder();
        private boolean mHasOthers;

        void add(String text) {
            if (mFirst.size() < MAX_SINGLE_TEXTS) {
                mFirst.add(text);
                return;
            }
            mOthers.append(mHasOthers ? "\n" : "").append(text);
            mHasOthers = true;
        }

        void clear() {
            mFirst.clear();
            mOthers = new StringBuilder();
            mHasOthers = false;
        }

        List<String> all() {
            List<String> all = new ArrayList<>(mFirst);
            if (mHasOthers) {
                all.add(mOthers.toString());
            }
            return all;
        }
    }

    private CompletionBody() {}

    /**
     * Reads a body. Of a field that occurs more than once, the last one counts.
     *
     * @throws DecodeException if the text is no JSON object, or is nested more than 64 levels deep
     */
    public static CompletionBody parse(String text) {
        CompletionBody body = new CompletionBody();
        JsonFields.read(text, body::readField);
        body.digestTexts();
        return body;
    }

    private void readField(String name, JsonParser parser) throws IOException {
        switch (name) {
            case "model" -> mModel = readNullable(parser);
            case "max_tokens" -> mMaxTokens = isScalar(parser) ? JsonFields.readScalar(parser) : "";
            case "stream" -> mIsStreaming = parser.hasToken(JsonToken.VALUE_TRUE);
            case "prompt" -> mPrompt = readNullable(parser);
            case "messages" -> readMessages(parser);
            default -> parser.skipChildren();
        }
    }

    /** Creates the parts of the prompt, and keeps none of the texts. */
    private void digestTexts() {
        String prompt = mPrompt;
        if (prompt != null) {
            mMessages.add(prompt);
        }
        List<String> texts = mMessages.all();
        mParts = texts.isEmpty() ? PromptParts.NONE : PromptParts.ofContent(texts);
        mMessages.clear();
        mPrompt = null;
    }

    private static boolean isScalar(JsonParser parser) {
        return !parser.currentToken().isStructStart();
    }

    private static @Nullable String readNullable(JsonParser parser) throws IOException {
        return parser.hasToken(JsonToken.VALUE_NULL) ? null : JsonFields.readText(parser);
    }

    private void readMessages(JsonParser parser) throws IOException {
        mMessages.clear();
        if (!parser.hasToken(JsonToken.START_ARRAY)) {
            return;
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            mMessages.add(JsonFields.readText(parser));
        }
    }

    /** Returns the name of the model; null when there is none. */
    public @Nullable String model() {
        return mModel;
    }

    /** Returns the most tokens of the response; {@code defaultTokens} without a number. */
    public int maxTokens(int defaultTokens) {
        return mMaxTokens instanceof Number number ? number.intValue() : defaultTokens;
    }

    /** Returns whether the response is sent event by event. */
    public boolean isStreaming() {
        return mIsStreaming;
    }

    /** Returns the parts of the prompt: each message of a chat, or the prompt of a completion. */
    public PromptParts promptParts() {
        return mParts;
    }
}
