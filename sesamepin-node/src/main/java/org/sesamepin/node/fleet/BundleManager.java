package org.sesamepin.node.fleet;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreRead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the active bundle of this node. A bundle becomes active only if its version is higher
 * than the active one, whether it comes from disk, the store or a peer. Each request reads the
 * immutable bundle once and so uses one version throughout. Thread-safe.
 */
public final class BundleManager {
    private static final Logger LOG = LoggerFactory.getLogger(BundleManager.class);
    private static final long CONFIRMATION_VALID_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final String FILE_NAME = "bundle.json";

    private record ActiveBundle(Bundle bundle, @Nullable SignedBundle signed) {}

    private final Map<String, String> mOperators;
    private final PlatformStore mStore;
    private final @Nullable Path mFile;
    private final Ticker mTicker;
    private final List<Consumer<Bundle>> mListeners = new CopyOnWriteArrayList<>();
    private volatile ActiveBundle mActive = new ActiveBundle(Bundle.EMPTY, null);
    private volatile String mRejectionReason = "";
    private volatile long mConfirmedAt;
    private volatile boolean mConfirmed;

    /**
     * Creates a manager without a bundle.
     *
     * @param operators public keys of the operators by name, which verify the signature of a bundle
     * @param store store from which bundle versions are read
     * @param dataFolder folder in which the active bundle is saved; empty to save none
     * @param ticker this host's monotonic clock
     */
    public BundleManager(
            Map<String, String> operators, PlatformStore store, String dataFolder, Ticker ticker) {
        mOperators = operators;
        mStore = store;
        mFile = dataFolder.isEmpty() ? null : Path.of(dataFolder, FILE_NAME);
        mTicker = ticker;
    }

    /**
     * Activates the bundle saved in the data folder, so that a restart never falls back to an older
     * version. A file that cannot be read is logged and ignored.
     */
    public void loadFromDisk() {
        Path file = mFile;
        if (file == null || !Files.exists(file)) {
            return;
        }
        try {
            activateIfNewer(
                    SignedBundle.fromJson(Files.readString(file, StandardCharsets.UTF_8)), "disk");
        } catch (IOException | SesamepinException e) {
            LOG.warn("step=load-bundle source=disk message=\"{}\"", e.getMessage());
        }
    }

    /** Returns the active bundle; {@link Bundle#EMPTY}, of version 0, until there is one. */
    public Bundle current() {
        return mActive.bundle();
    }

    /** Returns the active bundle in signed form, as sent to peers; null when there is none yet. */
    public @Nullable SignedBundle signedBundle() {
        return mActive.signed();
    }

    /** Returns why the last bundle was rejected; empty when none was since the last activation. */
    public String rejectionReason() {
        return mRejectionReason;
    }

    /** Registers {@code listener}, which runs after each change of the active bundle. */
    public void onChange(Consumer<Bundle> listener) {
        mListeners.add(listener);
    }

    /**
     * Activates a bundle if its signature is valid and its version is higher than the active one.
     *
     * @param source where the bundle comes from, for the log
     * @return whether the bundle became active
     */
    public boolean activateIfNewer(SignedBundle signed, String source) {
        Bundle bundle;
        try {
            bundle = signed.verifyAndParse(mOperators);
        } catch (SesamepinException e) {
            mRejectionReason = String.valueOf(e.getMessage());
            LOG.warn("step=load-bundle source={} refused=\"{}\"", source, e.getMessage());
            return false;
        }
        synchronized (this) {
            if (bundle.version() <= current().version()) {
                return false;
            }
            mActive = new ActiveBundle(bundle, signed);
            mRejectionReason = "";
            save(signed);
        }
        LOG.info("step=load-bundle source={} version={} in-force=true", source, bundle.version());
        mListeners.forEach(listener -> listener.accept(bundle));
        return true;
    }

    private void save(SignedBundle signed) {
        Path file = mFile;
        if (file == null) {
            return;
        }
        try {
            Path folder = file.toAbsolutePath().getParent();
            if (folder != null) {
                Files.createDirectories(folder);
            }
            Path newFile = file.resolveSibling(FILE_NAME + ".new");
            Files.writeString(newFile, signed.toJson(), StandardCharsets.UTF_8);
            Files.move(
                    newFile,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("step=load-bundle message=\"cannot save the bundle: {}\"", e.getMessage());
        }
    }

    /**
     * Handles the head found by a read of the store that was sent at {@code sentAt}, in nanoseconds
     * of the ticker: reads and activates the version if it is newer than the active one.
     */
    public Future<Void> onHeadRead(BundleHead head, long sentAt) {
        if (head.version() <= current().version()) {
            recordConfirmation(sentAt);
            return Future.succeededFuture();
        }
        return mStore.read(List.of(StoreRead.of(StoreKeys.bundleVersion(head.version()))))
                .onSuccess(
                        result -> {
                            StoreEntry entry =
                                    result.entry(StoreKeys.bundleVersion(head.version()));
                            if (entry != null && activateJsonIfNewer(entry.text(), "store")) {
                                recordConfirmation(sentAt);
                            }
                        })
                .mapEmpty();
    }

    /**
     * Parses the JSON form of a signed bundle from a peer or the store and activates it if it is
     * valid and newer than the active one.
     *
     * @param source where the bundle comes from, for the log
     * @return whether the bundle became active
     */
    public boolean activateJsonIfNewer(String json, String source) {
        try {
            return activateIfNewer(SignedBundle.fromJson(json), source);
        } catch (SesamepinException e) {
            mRejectionReason = String.valueOf(e.getMessage());
            return false;
        }
    }

    /**
     * Records that a read of the store, sent at {@code sentAt} in nanoseconds of the ticker, found
     * no version newer than the active one.
     */
    public void recordConfirmation(long sentAt) {
        mConfirmedAt = sentAt;
        mConfirmed = true;
    }

    /** Returns whether the last confirmation of the active version by the store is still valid. */
    public boolean isConfirmed() {
        return mConfirmed && mTicker.nanoTime() - mConfirmedAt < CONFIRMATION_VALID_NANOS;
    }

    /**
     * Returns the age of the store's last confirmation of the active version, milliseconds; {@link
     * Integer#MAX_VALUE} when there is none.
     */
    public long headAgeMs() {
        return mConfirmed
                ? TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - mConfirmedAt)
                : Integer.MAX_VALUE;
    }
}
