package org.sesamepin.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.fleet.BundleHead;
import org.sesamepin.node.fleet.HostRecord;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreRead;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Rolls a signed bundle: creates the version and moves the head in one compare-and-swap. Of two
 * operators that race, one wins and the other is told who did; an operator whose answer was lost
 * finds its own roll id in the head.
 */
final class BundleRoll {
    private static final long RETRY_MS = 500;
    private static final int MAX_TRIES = 60;

    private final PlatformStore mStore;

    BundleRoll(PlatformStore store) {
        mStore = store;
    }

    /** Puts the bundle at the head; fails with the winner's name when another roll was first. */
    BundleHead roll(SignedBundle signed) throws SesamepinException, InterruptedException {
        Bundle bundle = BundleParser.parse("bundle", signed.text());
        BundleHead mine =
                new BundleHead(bundle.version(), UUID.randomUUID().toString(), signed.operator());
        for (int i = 0; i < MAX_TRIES; i++) {
            @Nullable StoreEntry entry = headEntry();
            @Nullable BundleHead head = entry == null ? null : BundleHead.fromJson(entry.text());
            if (head != null && head.rollId().equals(mine.rollId())) {
                return mine;
            }
            checkNext(head, mine);
            if (commit(signed, mine, entry)) {
                return mine;
            }
        }
        throw problem("the store did not take the roll; its fate is unknown, see bundle history");
    }

    private @Nullable StoreEntry headEntry() throws SesamepinException, InterruptedException {
        SesamepinException last = problem("no try");
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                StoreResult result =
                        Waiting.get(
                                mStore.read(List.of(StoreRead.of(StoreKeys.BUNDLE_HEAD))),
                                StoreOption.TIMEOUT_MS);
                return result.entry(StoreKeys.BUNDLE_HEAD);
            } catch (SesamepinException e) {
                last = e;
                TimeUnit.MILLISECONDS.sleep(RETRY_MS);
            }
        }
        throw last;
    }

    private static void checkNext(@Nullable BundleHead head, BundleHead mine)
            throws SesamepinException {
        long current = head == null ? 0 : head.version();
        if (mine.version() == current + 1) {
            return;
        }
        String by = head == null ? "nobody" : head.operator();
        throw problem(
                "version "
                        + current
                        + " is in force, rolled by "
                        + by
                        + "; the next one is "
                        + (current + 1)
                        + ", this bundle says "
                        + mine.version());
    }

    /** Returns false when the head has to be read again, because the outcome is not known. */
    private boolean commit(SignedBundle signed, BundleHead mine, @Nullable StoreEntry entry)
            throws SesamepinException, InterruptedException {
        String key = StoreKeys.bundleVersion(mine.version());
        StoreTransaction change =
                new StoreTransaction()
                        .ifUnchanged(StoreKeys.BUNDLE_HEAD, entry == null ? 0 : entry.modRevision())
                        .ifAbsent(key)
                        .put(key, signed.toJson())
                        .put(StoreKeys.BUNDLE_HEAD, mine.toJson());
        try {
            return Waiting.get(mStore.commit(change), StoreOption.TIMEOUT_MS).committed();
        } catch (SesamepinException e) {
            if (e.execution() != Execution.UNKNOWN) {
                throw e;
            }
            return false;
        }
    }

    /** Returns the hosts whose leases last. */
    List<HostRecord> hosts() throws SesamepinException, InterruptedException {
        StoreResult result =
                Waiting.get(
                        mStore.read(List.of(StoreRead.ofPrefix(StoreKeys.HOSTS_PREFIX))),
                        StoreOption.TIMEOUT_MS);
        List<HostRecord> hosts = new ArrayList<>();
        result.entries().forEach(e -> hosts.add(HostRecord.fromJson(e.text())));
        return hosts;
    }

    /** Returns the head, or null before the first roll. */
    @Nullable BundleHead head() throws SesamepinException, InterruptedException {
        StoreEntry entry = headEntry();
        return entry == null ? null : BundleHead.fromJson(entry.text());
    }

    /** Returns a version as it was rolled; fails when there is none. */
    SignedBundle version(long version) throws SesamepinException, InterruptedException {
        String key = StoreKeys.bundleVersion(version);
        StoreResult result =
                Waiting.get(mStore.read(List.of(StoreRead.of(key))), StoreOption.TIMEOUT_MS);
        StoreEntry entry = result.entry(key);
        if (entry == null) {
            throw problem("no version " + version);
        }
        return SignedBundle.fromJson(entry.text());
    }

    /**
     * Waits until the version is in force on every live host; returns the hosts that are behind
     * when the time is over.
     */
    List<HostRecord> awaitInForce(long version, long timeoutMs)
            throws SesamepinException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (true) {
            List<HostRecord> behind =
                    hosts().stream().filter(h -> h.activeVersion() < version).toList();
            if (behind.isEmpty() || System.nanoTime() - deadline > 0) {
                return behind;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private static SesamepinException problem(String message) {
        return new SesamepinException(Step.STORE_WRITE, "store", message);
    }
}
