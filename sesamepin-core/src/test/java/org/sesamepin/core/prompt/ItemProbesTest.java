package org.sesamepin.core.prompt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Plays the probes of a host that holds several items back, on a virtual clock. */
class ItemProbesTest {
    private static final Suspect SUSPECT = new Suspect("s", Set.of("shared"));
    private static final long CHECK_MS = 1_000;

    private final ItemProbes mProbes = new ItemProbes();
    private final List<String> mSent = new ArrayList<>();

    /** Guards against sound items that wait for probes with the one item that ends its targets. */
    @Test
    void anItemThatEndsItsTargetsIsNotTheOnlyProbe() {
        PromptQuarantine.Entry entry = PromptQuarantine.Entry.startingAt(SUSPECT, 0);
        long endMs = 3 * ProbeSchedule.MAX_WAIT_MS;
        for (long nowMs = 0; nowMs < endMs && !mSent.contains("sound"); nowMs += CHECK_MS) {
            entry = claimFirst(entry, nowMs);
        }
        assertEquals(List.of("bad", "sound"), mSent);
    }

    /** Offers the items in the order of their progress, and ends the target of the bad one. */
    private PromptQuarantine.Entry claimFirst(PromptQuarantine.Entry entry, long nowMs) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
        mProbes.recordEntry(entry, nowMs, nowNanos);
        for (String item : List.of("bad", "sound")) {
            if (mProbes.isDue(entry, item, nowNanos)) {
                PromptQuarantine.Entry claimed = entry.withClaim(nowMs);
                mProbes.recordEntry(claimed, nowMs, nowNanos);
                mProbes.start(claimed, item, nowNanos);
                mSent.add(item);
                if (item.equals("bad")) {
                    mProbes.end(SUSPECT, item);
                }
                return claimed;
            }
        }
        return entry;
    }
}
