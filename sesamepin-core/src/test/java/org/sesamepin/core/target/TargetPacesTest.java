package org.sesamepin.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against figures that count when they are old, faulty or overtaken. */
class TargetPacesTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final TargetPaces mPaces = new TargetPaces();

    @Test
    void figureLosesHalfOfItsWeightInHalfASecond() {
        mPaces.observe("t", 3, 0);
        assertEquals(3, mPaces.factor("t", 0), 1e-9);
        assertEquals(2, mPaces.factor("t", 500 * MS), 1e-9);
        assertEquals(1.5, mPaces.factor("t", 1_000 * MS), 1e-9);
        assertEquals(1, mPaces.factor("other", 0), 1e-9);
    }

    @Test
    void olderAnswerDoesNotReplaceANewerOne() {
        mPaces.observe("t", 3, 10 * MS);
        mPaces.observe("t", 1, 5 * MS);
        assertEquals(3, mPaces.factor("t", 10 * MS), 1e-9);
    }

    @Test
    void faultyFiguresAreIgnoredOrBounded() {
        for (double faulty : new double[] {Double.NaN, 0, -2}) {
            mPaces.observe("t", faulty, 0);
            assertEquals(1, mPaces.factor("t", 0), 1e-9);
        }
        mPaces.observe("t", 1_000, 1);
        assertEquals(4, mPaces.factor("t", 1), 1e-9);
        mPaces.observe("t", 0.001, 2);
        assertEquals(0.5, mPaces.factor("t", 2), 1e-9);
    }

    /** Guards against reports and memory that grow with each target that ever answered. */
    @Test
    void oldFiguresAreDropped() {
        mPaces.observe("t", 3, 0);
        assertEquals(1, mPaces.observations(3_000 * MS).size());
        assertTrue(mPaces.observations(3_001 * MS).isEmpty());
        mPaces.observe("gone", 2, 4_000 * MS);
        mPaces.retain(target -> false);
        assertEquals(1, mPaces.factor("gone", 4_000 * MS), 1e-9);
    }
}
