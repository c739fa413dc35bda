package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;

/** Checks what the index keeps when reads of the store are answered out of order. */
class JobIndexTest {
    private static final String MARK = ServingKeys.cancellation("job");

    private final JobIndex mIndex = new JobIndex(Ticker.SYSTEM);

    private static StoreEntry markAt(long revision) {
        return new StoreEntry(MARK, new byte[] {'1'}, revision);
    }

    private void readMarkAt(long revision) {
        mIndex.addCancellations(new StoreListing(revision, List.of(markAt(revision))));
    }

    @Test
    void olderListingKeepsALaterCancellation() {
        readMarkAt(11);
        mIndex.onListing(new StoreListing(10, List.of()), false);
        assertTrue(mIndex.isCancelled("job"));
    }

    @Test
    void olderRemovalKeepsALaterCancellation() {
        mIndex.onListing(new StoreListing(5, List.of(markAt(5))), false);
        readMarkAt(9);
        StoreChange removal = new StoreChange(MARK, null, 7);
        mIndex.onChanges(new StoreChanges(8, List.of(removal), false), false);
        assertTrue(mIndex.isCancelled("job"));
    }

    @Test
    void laterListingAndRemovalEndACancellation() {
        readMarkAt(11);
        mIndex.onListing(new StoreListing(12, List.of()), false);
        assertFalse(mIndex.isCancelled("job"));
        readMarkAt(13);
        StoreChange removal = new StoreChange(MARK, null, 14);
        mIndex.onChanges(new StoreChanges(14, List.of(removal), false), false);
        assertFalse(mIndex.isCancelled("job"));
    }
}
