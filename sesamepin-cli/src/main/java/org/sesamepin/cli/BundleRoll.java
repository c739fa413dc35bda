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
 * Rolls out a signed bundle: one compare-and-set transaction creates the version and advances the
 * head, the record of the current version in the store. Of two concurrent rolls one succeeds, and
 * the other fails with the name of the operator who won. When the response to the transaction is
 * lost, the roll recognizes its own success by its roll id in the head.
 */
final class BundleRoll {
    private static final long RETRY_DELAY_MS = 500;
    private static final int MAX_ATTEMPTS = 60;

    private final PlatformStore mStore;

    BundleRoll(PlatformStore store) {
        mStore = store;
    }

    /**
     * Makes the bundle the current version and returns the new head. Reads the head again when the
     * outcome of a transaction is unknown.
     *
     * @throws SesamepinException when the bundle is not the next version, for example because
     *     another roll was first, whose operator the message names
     */
    BundleHead roll(SignedBundle signed) throws SesamepinException, InterruptedException {
        Bundle bundle = BundleParser.parse("bundle", signed.text());
        BundleHead newHead =
                new BundleHead(bundle.version(), UUID.randomUUID().toString(), signed.operator());
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            @Nullable StoreEntry headEntry = readHeadEntry();
            @Nullable BundleHead currentHead =
                    headEntry == null ? null : BundleHead.fromJson(headEntry.text());
            if (currentHead != null && currentHead.rollId().equals(newHead.rollId())) {
                return newHead;
            }
            checkIsNextVersion(currentHead, newHead);
            if (commit(signed, newHead, headEntry)) {
                return newHead;
            }
        }
        throw rollException(
                "the store did not confirm the roll; its outcome is unknown, see 'bundle history'");
    }

    private @Nullable StoreEntry readHeadEntry() throws SesamepinException, InterruptedException {
        SesamepinException lastException = rollException("the head has not been read");
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                StoreResult result =
                        Futures.await(
                                mStore.read(List.of(StoreRead.of(StoreKeys.BUNDLE_HEAD))),
                                StoreOption.REQUEST_TIMEOUT_MS);
                return result.entry(StoreKeys.BUNDLE_HEAD);
            } catch (SesamepinException e) {
                lastException = e;
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
            }
        }
        throw lastException;
    }

    private static void checkIsNextVersion(@Nullable BundleHead currentHead, BundleHead newHead)
            throws SesamepinException {
        long currentVersion = currentHead == null ? 0 : currentHead.version();
        if (newHead.version() == currentVersion + 1) {
            return;
        }
        String operator = currentHead == null ? "nobody" : currentHead.operator();
        throw rollException(
                "version "
                        + currentVersion
                        + " is current, rolled by "
                        + operator
                        + "; the next version is "
                        + (currentVersion + 1)
                        + ", but this bundle has version "
                        + newHead.version());
    }

    /**
     * Commits the new version and head. Returns false when the head has to be read again, because
     * it has changed meanwhile or the outcome of the transaction is unknown.
     */
    private boolean commit(SignedBundle signed, BundleHead newHead, @Nullable StoreEntry headEntry)
            throws SesamepinException, InterruptedException {
        String versionKey = StoreKeys.bundleVersion(newHead.version());
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifUnchanged(
                                StoreKeys.BUNDLE_HEAD,
                                headEntry == null ? 0 : headEntry.modRevision())
                        .ifAbsent(versionKey)
                        .put(versionKey, signed.toJson())
                        .put(StoreKeys.BUNDLE_HEAD, newHead.toJson());
        try {
            return Futures.await(mStore.commit(transaction), StoreOption.REQUEST_TIMEOUT_MS)
                    .committed();
        } catch (SesamepinException e) {
            if (e.execution() != Execution.UNKNOWN) {
                throw e;
            }
            return false;
        }
    }

    /** Returns the records of the live hosts, those whose leases have not expired. */
    List<HostRecord> readLiveHosts() throws SesamepinException, InterruptedException {
        StoreResult result =
                Futures.await(
                        mStore.read(List.of(StoreRead.ofPrefix(StoreKeys.HOSTS_PREFIX))),
                        StoreOption.REQUEST_TIMEOUT_MS);
        List<HostRecord> hosts = new ArrayList<>();
        result.entries().forEach(e -> hosts.add(HostRecord.fromJson(e.text())));
        return hosts;
    }

    /** Returns the head, or null before the first roll. */
    @Nullable BundleHead readHead() throws SesamepinException, InterruptedException {
        StoreEntry entry = readHeadEntry();
        return entry == null ? null : BundleHead.fromJson(entry.text());
    }

    /** Returns the signed bundle of a version; fails when the store has no such version. */
    SignedBundle readVersion(long version) throws SesamepinException, InterruptedException {
        String key = StoreKeys.bundleVersion(version);
        StoreResult result =
                Futures.await(
                        mStore.read(List.of(StoreRead.of(key))), StoreOption.REQUEST_TIMEOUT_MS);
        StoreEntry entry = result.entry(key);
        if (entry == null) {
            throw rollException("the store has no version " + version);
        }
        return SignedBundle.fromJson(entry.text());
    }

    /**
     * Waits until the version is active on every live host. Returns the hosts that still have an
     * older version when {@code timeoutMs} milliseconds have passed; empty on success.
     */
    List<HostRecord> awaitActive(long version, long timeoutMs)
            throws SesamepinException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (true) {
            List<HostRecord> laggingHosts =
                    readLiveHosts().stream()
                            .filter(host -> host.activeVersion() < version)
                            .toList();
            if (laggingHosts.isEmpty() || System.nanoTime() - deadline > 0) {
                return laggingHosts;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private static SesamepinException rollException(String message) {
        return new SesamepinException(Step.STORE_WRITE, "store", message);
    }
}
