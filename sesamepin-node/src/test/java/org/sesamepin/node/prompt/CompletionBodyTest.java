package org.sesamepin.node.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.prompt.PromptParts;

/** What is read of the bodies of OpenAI-style calls. */
class CompletionBodyTest {
    /** Guards against other parts for the same texts, on which what is kept for them depends. */
    @Test
    void partsAreThoseOfTheTexts() {
        JsonArray messages = new JsonArray();
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            JsonObject message = new JsonObject().put("role", "user").put("content", "c" + i);
            messages.add(message).add("text" + i);
            texts.add(message.encode());
            texts.add("text" + i);
        }
        JsonObject call = new JsonObject().put("messages", messages).put("model", "m");
        PromptParts expected = PromptParts.ofContent(texts);
        assertEquals(expected, CompletionBody.parse(call.encode()).promptParts());
        assertEquals(expected, CompletionBody.parse(call.encodePrettily()).promptParts());
        texts.add("p");
        String withPrompt = call.put("prompt", "p").encode();
        assertEquals(PromptParts.ofContent(texts), CompletionBody.parse(withPrompt).promptParts());
    }

    @Test
    void lastOfEqualFieldsCounts() {
        CompletionBody body =
                CompletionBody.parse(
                        "{\"model\":[1],\"model\":\"m\",\"stream\":true,\"max_tokens\":{\"a\":2},"
                                + "\"max_tokens\":7,\"x\":{\"model\":\"y\"},"
                                + "\"messages\":[\"a\"],\"messages\":[\"b\"]}");
        assertEquals("m", body.model());
        assertEquals(7, body.maxTokens(1));
        assertTrue(body.isStreaming());
        assertEquals(PromptParts.ofContent(List.of("b")), body.promptParts());
    }

    @Test
    void fieldsMayBeMissingOrOfAnotherType() {
        CompletionBody body =
                CompletionBody.parse("{\"model\":null,\"max_tokens\":[],\"messages\":{}}");
        assertNull(body.model());
        assertEquals(1, body.maxTokens(1));
        assertEquals(PromptParts.NONE, body.promptParts());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "{\"a\":1}}", "{\"a\":[}", "{\"messages\":[{]}", "7"})
    void textsThatAreNoObjectAreRefused(String text) {
        assertThrows(DecodeException.class, () -> CompletionBody.parse(text));
    }

    /** Guards against texts that exhaust the stack. */
    @Test
    void deepNestingIsRefused() {
        String text = "{\"a\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}";
        assertThrows(DecodeException.class, () -> CompletionBody.parse(text));
    }
}
