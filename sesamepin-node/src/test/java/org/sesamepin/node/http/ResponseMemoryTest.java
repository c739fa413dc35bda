package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that responses of targets do not take more memory together than is allowed. */
class ResponseMemoryTest {
    private static final int MAX_BYTES = 100;

    private final ResponseMemory mMemory = new ResponseMemory(MAX_BYTES);
    private final List<String> mRevoked = new ArrayList<>();

    private ResponseMemory.Holder newHolder(String name) {
        return mMemory.newHolder(() -> mRevoked.add(name));
    }

    @Test
    void largestResponseIsGivenUpWhenASmallOneNeedsMemory() {
        newHolder("large").resize(95);
        newHolder("small").resize(10);
        assertEquals(List.of("large"), mRevoked);
        assertEquals(10, mMemory.usedBytes());
    }

    @Test
    void responseThatGrowsBeyondTheLimitIsGivenUpOnce() {
        ResponseMemory.Holder holder = newHolder("endless");
        for (int i = 1; i <= 3 * MAX_BYTES; i++) {
            holder.resize(i);
        }
        assertEquals(List.of("endless"), mRevoked);
        assertEquals(0, mMemory.usedBytes());
    }

    @Test
    void releasedMemoryIsUsedAgain() {
        for (int i = 0; i < 3; i++) {
            ResponseMemory.Holder holder = newHolder("complete");
            holder.resize(MAX_BYTES);
            holder.release();
        }
        assertEquals(List.of(), mRevoked);
    }

    @Test
    void manyResponsesTogetherStayWithinTheLimit() {
        for (int i = 0; i < 50; i++) {
            newHolder("h" + i).resize(7);
            assertEquals(Math.min(7 * (i + 1), 98), mMemory.usedBytes());
        }
    }
}
