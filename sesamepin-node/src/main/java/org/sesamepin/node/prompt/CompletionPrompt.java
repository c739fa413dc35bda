package org.sesamepin.node.prompt;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.sesamepin.core.prompt.PromptParts;

/** Reads the parts of the prompt of an OpenAI-style call, whose callers do not name any. */
public final class CompletionPrompt {
    private CompletionPrompt() {}

    /** Returns the parts of a call: each message of a chat, or the prompt of a completion. */
    public static PromptParts partsOf(JsonObject call) {
        List<String> texts = new ArrayList<>();
        if (call.getValue("messages") instanceof JsonArray messages) {
            messages.forEach(message -> texts.add(String.valueOf(message)));
        }
        Object prompt = call.getValue("prompt");
        if (prompt != null) {
            texts.add(prompt.toString());
        }
        return texts.isEmpty() ? PromptParts.NONE : PromptParts.ofContent(texts);
    }
}
