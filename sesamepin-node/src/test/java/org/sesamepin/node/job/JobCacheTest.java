package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a cache that fills the heap, however many and large the jobs are. */
class JobCacheTest {
    private final JobCache<String> mCache = new JobCache<>(100);

    @Test
    void leastRecentlyUsedContentIsDropped() {
        mCache.put("a", "A", 40);
        mCache.put("b", "B", 40);
        mCache.get("a");
        mCache.put("c", "C", 40);
        assertEquals("A", mCache.get("a"));
        assertNull(mCache.get("b"));
        assertEquals("C", mCache.get("c"));
        assertEquals(80, mCache.bytes());
    }

    @Test
    void contentLargerThanTheCacheIsNotKept() {
        mCache.put("a", "A", 40);
        mCache.put("b", "B", 101);
        assertEquals("A", mCache.get("a"));
        assertNull(mCache.get("b"));
    }

    @Test
    void contentThatReplacesAnotherCountsOnce() {
        mCache.put("a", "A", 40);
        mCache.put("a", "A2", 70);
        assertEquals("A2", mCache.get("a"));
        assertEquals(70, mCache.bytes());
        mCache.put("a", "A3", 200);
        assertNull(mCache.get("a"));
        assertEquals(0, mCache.bytes());
    }

    @Test
    void sizesStayWithinTheLimit() {
        Random random = new Random(1);
        for (int i = 0; i < 10_000; i++) {
            mCache.put("job" + random.nextInt(50), "x", random.nextInt(120));
            mCache.get("job" + random.nextInt(50));
            assertTrue(mCache.bytes() >= 0 && mCache.bytes() <= 100);
        }
    }
}
