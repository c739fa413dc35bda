package org.sesamepin.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * How far each item of one job is, at the job's owner. An item that gives way to online work, or
 * whose target dies, goes on behind its last event; only a target's own answer that the item failed
 * counts against it. Results get their positions in the order in which items end, and count as
 * published once the store holds them. Not thread-safe.
 */
public final class JobProgress {
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private enum State {
        OPEN,
        RUNNING,
        FINAL
    }

    private static final class Item {
        private final JobItem mItem;
        private final StringBuilder mOutput = new StringBuilder();
        private State mState = State.OPEN;
        private long mLastEventId;
        private long mNotBefore;
        private boolean mBackedOff;
        private int mFailures;

        Item(JobItem item) {
            mItem = item;
        }
    }

    private final List<Item> mItems = new ArrayList<>();
    private final Map<String, Integer> mIndexById = new HashMap<>();
    private final Deque<JobResult> mPending = new ArrayDeque<>();
    private final List<JobResult> mPublished = new ArrayList<>();
    private int mFinal;

    /**
     * Creates the progress of a job.
     *
     * @param published results that the store holds, in the order of their positions
     * @param failures answers of targets that an item failed, by item id
     */
    public JobProgress(
            List<JobItem> items, List<JobResult> published, Map<String, Integer> failures) {
        for (JobItem item : items) {
            mIndexById.put(item.id(), mItems.size());
            mItems.add(new Item(item));
        }
        failures.forEach(
                (id, count) -> {
                    Integer index = mIndexById.get(id);
                    if (index != null) {
                        mItems.get(index).mFailures = count;
                    }
                });
        for (JobResult result : published) {
            mPublished.add(result);
            Integer index = mIndexById.get(result.id());
            if (index != null) {
                markFinal(mItems.get(index));
            }
        }
    }

    private void markFinal(Item item) {
        if (item.mState != State.FINAL) {
            item.mState = State.FINAL;
            mFinal++;
        }
    }

    /**
     * Returns the index of the next item to run, or -1 when none can run now: the one that is
     * furthest, so that few items are half done when the owner dies.
     */
    public int nextItem(long now) {
        int next = -1;
        for (int i = 0; i < mItems.size(); i++) {
            Item item = mItems.get(i);
            boolean further = next < 0 || item.mLastEventId > mItems.get(next).mLastEventId;
            if (canRun(item, now) && further) {
                next = i;
            }
        }
        return next;
    }

    private static boolean canRun(Item item, long now) {
        boolean waits = item.mBackedOff && now - item.mNotBefore < 0;
        return item.mState == State.OPEN && !waits;
    }

    /** Returns the number of items that could run now. */
    public int runnableItems(long now) {
        return (int) mItems.stream().filter(item -> canRun(item, now)).count();
    }

    /** Returns item {@code index}. */
    public JobItem item(int index) {
        return mItems.get(index).mItem;
    }

    /** Returns the id of the last event of an item that is there; 0 when there is none. */
    public long lastEventId(int index) {
        return mItems.get(index).mLastEventId;
    }

    /** Notes that an item runs. */
    public void recordStart(int index) {
        mItems.get(index).mState = State.RUNNING;
    }

    /** Takes in the data of the event {@code id}. */
    public void appendEvent(int index, long id, String data) {
        Item item = mItems.get(index);
        if (item.mLastEventId > 0) {
            item.mOutput.append('\n');
        }
        item.mOutput.append(data);
        item.mLastEventId = id;
    }

    /** Reopens an item that gave way or that its target did not take. */
    public void recordSuspension(int index) {
        reopen(mItems.get(index));
    }

    /** Reopens an item whose run broke off, for a little later. */
    public void recordInterruption(int index, long now) {
        Item item = mItems.get(index);
        reopen(item);
        item.mBackedOff = true;
        item.mNotBefore = now + RETRY_NANOS;
    }

    private static void reopen(Item item) {
        if (item.mState == State.RUNNING) {
            item.mState = State.OPEN;
            item.mBackedOff = false;
        }
    }

    /** Notes a target's answer that the item failed; gives it up after {@code maxFailures}. */
    public void recordFailure(int index, int maxFailures, long now) {
        Item item = mItems.get(index);
        item.mFailures++;
        item.mOutput.setLength(0);
        item.mLastEventId = 0;
        if (item.mFailures >= maxFailures) {
            failPermanently(index);
        } else {
            recordInterruption(index, now);
        }
    }

    /** Ends an item that cannot be done, with an error as its result. */
    public void failPermanently(int index) {
        end(index, false, "");
    }

    /** Ends an item whose output is whole. */
    public void recordCompletion(int index) {
        end(index, true, mItems.get(index).mOutput.toString());
    }

    private void end(int index, boolean done, String output) {
        Item item = mItems.get(index);
        if (item.mState == State.FINAL) {
            return;
        }
        markFinal(item);
        mPending.add(new JobResult(item.mItem.id(), done, output));
        item.mOutput.setLength(0);
        item.mOutput.trimToSize();
    }

    /** Returns the indexes of all items that are not final. */
    public List<Integer> unfinishedItems() {
        List<Integer> unfinished = new ArrayList<>();
        for (int i = 0; i < mItems.size(); i++) {
            if (mItems.get(i).mState != State.FINAL) {
                unfinished.add(i);
            }
        }
        return unfinished;
    }

    /** Returns the first results that are not published, of at most about {@code maxChars}. */
    public List<JobResult> unpublishedResults(int maxChars) {
        List<JobResult> batch = new ArrayList<>();
        int chars = 0;
        for (JobResult result : mPending) {
            chars += result.output().length();
            if (!batch.isEmpty() && chars > maxChars) {
                break;
            }
            batch.add(result);
        }
        return batch;
    }

    /** Notes that the store holds the first {@code count} pending results. */
    public void published(int count) {
        for (int i = 0; i < count; i++) {
            mPublished.add(mPending.remove());
        }
    }

    /** Returns the published results in the order of their positions. */
    public List<JobResult> published() {
        return mPublished;
    }

    /** Returns how often targets answered that an item failed, for the items that are open. */
    public Map<String, Integer> failures() {
        Map<String, Integer> failures = new HashMap<>();
        for (Item item : mItems) {
            if (item.mFailures > 0 && item.mState != State.FINAL) {
                failures.put(item.mItem.id(), item.mFailures);
            }
        }
        return failures;
    }

    /** Returns the tokens of the items that are not final. */
    public long openTokens() {
        long tokens = 0;
        for (Item item : mItems) {
            if (item.mState != State.FINAL) {
                tokens += item.mItem.tokens();
            }
        }
        return tokens;
    }

    /** Returns the number of items. */
    public int itemCount() {
        return mItems.size();
    }

    /** Tells whether each item has its result, published or not. */
    public boolean allFinal() {
        return mFinal == mItems.size();
    }

    /** Tells whether all results are published. */
    public boolean isComplete() {
        return mPublished.size() == mItems.size();
    }

    /** Returns the body of the item {@code id} while it has no published result, or null. */
    public byte @Nullable [] unpublishedBody(String id) {
        Integer index = mIndexById.get(id);
        boolean listed = mPublished.stream().anyMatch(result -> result.id().equals(id));
        return index == null || listed ? null : mItems.get(index).mItem.body();
    }
}
