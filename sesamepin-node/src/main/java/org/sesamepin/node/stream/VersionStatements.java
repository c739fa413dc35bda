package org.sesamepin.node.stream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.stream.StreamKey;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * States versions in the store. A statement says only that streams may have begun at a version, and
 * any host may write it again, so a write that is repeated or carried out late changes nothing.
 * Confined to the event loop.
 */
final class VersionStatements {
    private static final Logger LOG = LoggerFactory.getLogger(VersionStatements.class);
    private static final int MAX_PER_WRITE = 30;
    private static final long HEDGE_DELAY_MS = 200;
    private static final long RETRY_DELAY_MS = 100;
    private static final int MAX_WRITES = 3;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final String mHost;
    private final Map<TargetSoftware, Promise<Long>> mOpen = new LinkedHashMap<>();
    private boolean mIsScheduled;
    private boolean mClosed;
    private int mWrites;

    VersionStatements(Vertx vertx, WatchableStore store, String host) {
        mVertx = vertx;
        mStore = store;
        mHost = host;
    }

    /** States a version; completes with the store's revision once the store has confirmed it. */
    Future<Long> state(TargetSoftware version) {
        Promise<Long> open = mOpen.get(version);
        if (open != null) {
            return open.future();
        }
        Promise<Long> statement = Promise.promise();
        mOpen.put(version, statement);
        if (!mIsScheduled) {
            mIsScheduled = true;
            mVertx.runOnContext(v -> writeOpen());
        }
        return statement.future();
    }

    private void writeOpen() {
        mIsScheduled = false;
        if (mClosed || mOpen.isEmpty() || mWrites >= MAX_WRITES) {
            return;
        }
        List<TargetSoftware> versions = mOpen.keySet().stream().limit(MAX_PER_WRITE).toList();
        StoreTransaction transaction = new StoreTransaction();
        versions.forEach(
                version ->
                        transaction.put(
                                ServingKeys.streamVersion(StreamKey.of(version)), encode(version)));
        mWrites++;
        long hedge = mVertx.setTimer(HEDGE_DELAY_MS, t -> writeOpen());
        mStore.commit(transaction)
                .onComplete(
                        result -> {
                            mWrites--;
                            mVertx.cancelTimer(hedge);
                            if (result.succeeded()) {
                                long revision = result.result().revision();
                                versions.forEach(version -> confirm(version, revision));
                                writeOpen();
                            } else {
                                retry(versions, result.cause());
                            }
                        });
    }

    private void retry(List<TargetSoftware> versions, @Nullable Throwable cause) {
        LOG.warn(
                "step=stream-version versions={} outcome=not-stated cause={}",
                versions,
                cause + "");
        mVertx.setTimer(RETRY_DELAY_MS, t -> writeOpen());
    }

    private void confirm(TargetSoftware version, long revision) {
        Promise<Long> statement = mOpen.remove(version);
        if (statement == null) {
            return;
        }
        LOG.info(
                "step=stream-version service={} version={} outcome=stated",
                version.service(),
                version.version());
        statement.complete(revision);
    }

    private String encode(TargetSoftware version) {
        return new JsonObject()
                .put("service", version.service())
                .put("version", version.version())
                .put("host", mHost)
                .encode();
    }

    /** Ends all writing; open statements stay open. */
    void close() {
        mClosed = true;
    }
}
