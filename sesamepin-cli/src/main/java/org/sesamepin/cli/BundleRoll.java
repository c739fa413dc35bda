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
import org.sesamepin.node.fleet.Head;
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
    private static final long RETRY_DELAY_MS = 500;
    private static final int MAX_ATTEMPTS = 60;

    private final PlatformStore mStore;

    BundleRoll(PlatformStore store) {
        mStore = store;
    }

    /** Puts the bundle at the head; fails with the winner's name when another roll was first. */
    Head roll(SignedBundle signed) throws SesamepinException, InterruptedException {
        Bundle bundle = BundleParser.parse("bundle", signed.text());
        Head mine = new Head(bundle.version(), UUID.randomUUID().toString(), signed.operator());
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            @Nullable StoreEntry entry = readHeadEntry();
            @Nullable Head head = entry == null ? null : Head.fromJson(entry.text());
            if (head != null && head.rollId().equals(mine.rollId())) {
                return mine;
            }
            checkIsNextVersion(head, mine);
            if (commit(signed, mine, entry)) {
                return mine;
            }
        }
        throw rollException(
                "the store did not take the roll; its fate is unknown, see bundle history");
    }

    private @Nullable StoreEntry readHeadEntry() throws SesamepinException, InterruptedException {
        SesamepinException last = rollException("no try");
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                StoreResult result =
                        Futures.await(
                                mStore.read(List.of(StoreRead.of(StoreKeys.HEAD))),
                                StoreOption.REQUEST_TIMEOUT_MS);
                return result.entry(StoreKeys.HEAD);
            } catch (SesamepinException e) {
                last = e;
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
            }
        }
        throw last;
    }

    private static void checkIsNextVersion(@Nullable Head head, Head mine)
            throws SesamepinException {
        long current = head == null ? 0 : head.version();
        if (mine.version() == current + 1) {
            return;
        }
        String by = head == null ? "nobody" : head.operator();
        throw rollException(
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
    private boolean commit(SignedBundle signed, Head mine, @Nullable StoreEntry entry)
            throws SesamepinException, InterruptedException {
        String key = StoreKeys.version(mine.version());
        StoreTransaction change =
                new StoreTransaction()
                        .ifUnchanged(StoreKeys.HEAD, entry == null ? 0 : entry.modRevision())
                        .ifAbsent(key)
                        .put(key, signed.toJson())
                        .put(StoreKeys.HEAD, mine.toJson());
        try {
            return Futures.await(mStore.commit(change), StoreOption.REQUEST_TIMEOUT_MS).committed();
        } catch (SesamepinException e) {
            if (e.execution() != Execution.UNKNOWN) {
                throw e;
            }
            return false;
        }
    }

    /** Returns the hosts whose leases last. */
    List<HostRecord> readLiveHosts() throws SesamepinException, InterruptedException {
        StoreResult result =
                Futures.await(
                        mStore.read(List.of(StoreRead.ofPrefix(StoreKeys.HOSTS))),
                        StoreOption.REQUEST_TIMEOUT_MS);
        List<HostRecord> hosts = new ArrayList<>();
        result.read().forEach(e -> hosts.add(HostRecord.fromJson(e.text())));
        return hosts;
    }

    /** Returns the head, or null before the first roll. */
    @Nullable Head readHead() throws SesamepinException, InterruptedException {
        StoreEntry entry = readHeadEntry();
        return entry == null ? null : Head.fromJson(entry.text());
    }

    /** Returns a version as it was rolled; fails when there is none. */
    SignedBundle readVersion(long version) throws SesamepinException, InterruptedException {
        String key = StoreKeys.version(version);
        StoreResult result =
                Futures.await(
                        mStore.read(List.of(StoreRead.of(key))), StoreOption.REQUEST_TIMEOUT_MS);
        StoreEntry entry = result.entry(key);
        if (entry == null) {
            throw rollException("no version " + version);
        }
        return SignedBundle.fromJson(entry.text());
    }

    /**
     * Waits until the version is in force on every live host; returns the hosts that are behind
     * when the time is over.
     */
    List<HostRecord> awaitActive(long version, long timeoutMs)
            throws SesamepinException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (true) {
            List<HostRecord> behind =
                    readLiveHosts().stream().filter(h -> h.inForce() < version).toList();
            if (behind.isEmpty() || System.nanoTime() - deadline > 0) {
                return behind;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private static SesamepinException rollException(String message) {
        return new SesamepinException(Step.STORE_WRITE, "store", message);
    }
}
