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
 * Keeps the bundle in force on this node. Versions only grow: an older one is refused wherever it
 * comes from. A request reads the snapshot once and sees one version throughout. Thread-safe.
 */
public final class BundleManager {
    private static final Logger LOG = LoggerFactory.getLogger(BundleManager.class);
    private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final String FILE = "bundle.json";

    private record InForce(Bundle bundle, @Nullable SignedBundle signed) {}

    private final Map<String, String> mOperators;
    private final PlatformStore mStore;
    private final @Nullable Path mFile;
    private final Ticker mTicker;
    private final List<Consumer<Bundle>> mListeners = new CopyOnWriteArrayList<>();
    private volatile InForce mInForce = new InForce(Bundle.EMPTY, null);
    private volatile String mRefused = "";
    private volatile long mConfirmedAt;
    private volatile boolean mConfirmed;

    /**
     * Creates a keeper without a bundle.
     *
     * @param operators public keys of the operators by name
     * @param store where versions are read
     * @param dataFolder folder for the last bundle; empty for none
     * @param ticker this host's clock
     */
    public BundleManager(
            Map<String, String> operators, PlatformStore store, String dataFolder, Ticker ticker) {
        mOperators = operators;
        mStore = store;
        mFile = dataFolder.isEmpty() ? null : Path.of(dataFolder, FILE);
        mTicker = ticker;
    }

    /** Takes up the bundle of the data folder, so that a restart never goes back behind it. */
    public void load() {
        Path file = mFile;
        if (file == null || !Files.exists(file)) {
            return;
        }
        try {
            apply(SignedBundle.fromJson(Files.readString(file, StandardCharsets.UTF_8)), "disk");
        } catch (IOException | SesamepinException e) {
            LOG.warn("step=load-bundle source=disk message=\"{}\"", e.getMessage());
        }
    }

    public Bundle current() {
        return mInForce.bundle();
    }

    /** Returns the signed bundle in force for a peer, or null when there is none yet. */
    public @Nullable SignedBundle signed() {
        return mInForce.signed();
    }

    /** Returns why a newer bundle is not in force; empty when none was refused. */
    public String refused() {
        return mRefused;
    }

    /** Runs {@code listener} after each change of the bundle in force. */
    public void onChange(Consumer<Bundle> listener) {
        mListeners.add(listener);
    }

    /** Puts a bundle in force when its signature holds and it is newer; tells whether it did. */
    public boolean apply(SignedBundle signed, String source) {
        Bundle bundle;
        try {
            bundle = signed.verifyAndParse(mOperators);
        } catch (SesamepinException e) {
            mRefused = String.valueOf(e.getMessage());
            LOG.warn("step=load-bundle source={} refused=\"{}\"", source, e.getMessage());
            return false;
        }
        synchronized (this) {
            if (bundle.version() <= current().version()) {
                return false;
            }
            mInForce = new InForce(bundle, signed);
            mRefused = "";
            save(signed);
        }
        LOG.info("step=load-bundle source={} version={} in-force=true", source, bundle.version());
        mListeners.forEach(l -> l.accept(bundle));
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
            Path next = file.resolveSibling(FILE + ".new");
            Files.writeString(next, signed.toJson(), StandardCharsets.UTF_8);
            Files.move(
                    next,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("step=load-bundle message=\"cannot save: {}\"", e.getMessage());
        }
    }

    /** Notes that a read of the store, sent at {@code sentAt}, found this head; fetches it. */
    public Future<Void> headSeen(BundleHead head, long sentAt) {
        if (head.version() <= current().version()) {
            confirmed(sentAt);
            return Future.succeededFuture();
        }
        return mStore.read(List.of(StoreRead.of(StoreKeys.bundleVersion(head.version()))))
                .onSuccess(
                        result -> {
                            StoreEntry entry =
                                    result.entry(StoreKeys.bundleVersion(head.version()));
                            if (entry != null && applyJson(entry.text(), "store")) {
                                confirmed(sentAt);
                            }
                        })
                .mapEmpty();
    }

    /** Puts the value that a peer or the store gave in force, when it is good and newer. */
    public boolean applyJson(String json, String source) {
        try {
            return apply(SignedBundle.fromJson(json), source);
        } catch (SesamepinException e) {
            mRefused = String.valueOf(e.getMessage());
            return false;
        }
    }

    /** Notes that the store had no newer version when a read was sent at {@code sentAt}. */
    public void confirmed(long sentAt) {
        mConfirmedAt = sentAt;
        mConfirmed = true;
    }

    /** Tells whether the store confirmed the version in force a short time ago. */
    public boolean isConfirmed() {
        return mConfirmed && mTicker.nanoTime() - mConfirmedAt < CONFIRMATION_NANOS;
    }

    /**
     * Returns the age of the last confirmation, milliseconds; a large number when there is none.
     */
    public long headAgeMs() {
        return mConfirmed
                ? TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - mConfirmedAt)
                : Integer.MAX_VALUE;
    }
}
