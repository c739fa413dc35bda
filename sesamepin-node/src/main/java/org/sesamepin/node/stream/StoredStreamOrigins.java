package org.sesamepin.node.stream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.stream.Finding;
import org.sesamepin.core.stream.OriginLedger;
import org.sesamepin.core.stream.RecordJournal;
import org.sesamepin.core.stream.Retention;
import org.sesamepin.core.stream.StreamKey;
import org.sesamepin.core.stream.TakeUp;
import org.sesamepin.core.stream.TargetNames;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.serving.ServingState;
import org.sesamepin.node.serving.StoreMirror;
import org.sesamepin.node.serving.StreamLifetime;
import org.sesamepin.node.serving.StreamOrigins;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells any host of the fleet, also one that has just started, which version began a stream. Before
 * the first event of a stream is forwarded, the store holds a statement of its version, or, for a
 * while after that version came beside another one, the stream's record. While streams may have
 * begun at several versions of a service, each stream is recorded. Listens to the targets. Confined
 * to the event loop.
 */
public final class StoredStreamOrigins
        implements StreamOrigins, StoreMirror.Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StoredStreamOrigins.class);
    private static final int MAX_STREAMS = 100_000;
    private static final long BUCKET_MS = 2_000;
    private static final long MIN_INTERVAL_MS = 50;
    private static final long INTERVAL_MS_PER_HOST = 10;

    /** The same while first events wait for a record, which few streams of all hosts do. */
    private static final long AWAITED_INTERVAL_MS_PER_HOST = 2;

    private static final int MAX_TARGET_NAMES = 10_000;

    /** Keeps old records, as a time that is never over. */
    private static final long KEEP_NANOS = TimeUnit.DAYS.toNanos(10_000);

    /** Reads of the store for a stream without a record, whose write may be in flight. */
    private static final int MAX_READS = 3;

    private static final long READ_INTERVAL_MS = 80;
    private static final long TICK_MS = 1_000;
    private static final int TICKS_PER_LISTING = 30;

    /** Largest difference between the clocks of two hosts, with a margin. */
    private static final long CLOCK_MARGIN_MS = 120_000;

    private static final int MAX_REMOVALS_PER_WRITE = 30;
    private static final String REMOVER = "stream-records";

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final WatchableStore mStore;
    private final ServingState mState;
    private final Predicate<String> mIsOwner;
    private final OriginLedger mLedger;
    private final TargetNames mTargetNames = new TargetNames(MAX_TARGET_NAMES);
    private final OriginReader mReader;
    private final VersionStatements mStatements;
    private final RecordWriter mWriter;

    /** The versions that are not stated, and whose streams wait for their records. */
    private final Set<TargetSoftware> mRecordedFirst = new HashSet<>();

    /** The versions whose statements are on their way, and the calls that wait for them. */
    private final Set<TargetSoftware> mBeingStated = new HashSet<>();

    private final Waits<TargetSoftware> mStatementWaits = new Waits<>();
    private long mLongestLifetimeMs;
    private long mTimer = -1;
    private int mTicks;
    private boolean mIsListed;
    private boolean mClosed;

    /**
     * Creates the origins of a host's streams.
     *
     * @param hostCount returns the number of registered hosts
     * @param isOwner returns whether this host is the one of all hosts that does a task
     */
    public StoredStreamOrigins(
            Vertx vertx,
            Ticker ticker,
            WatchableStore store,
            ServingState state,
            String host,
            IntSupplier hostCount,
            Predicate<String> isOwner) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mState = state;
        mIsOwner = isOwner;
        mReader = new OriginReader(vertx, store);
        mStatements = new VersionStatements(vertx, store, host);
        String writer = host + '-' + Long.toHexString(ThreadLocalRandom.current().nextLong());
        RecordJournal journal =
                new RecordJournal(
                        number ->
                                ServingKeys.streamRecords(
                                        System.currentTimeMillis(), writer, number),
                        TimeUnit.MILLISECONDS.toNanos(BUCKET_MS));
        mLedger = new OriginLedger(journal, MAX_STREAMS);
        mWriter =
                new RecordWriter(
                        vertx,
                        ticker,
                        store,
                        journal,
                        intervals(hostCount),
                        this::recordRetentionNanos);
    }

    private static RecordWriter.Intervals intervals(IntSupplier hostCount) {
        return new RecordWriter.Intervals() {
            @Override
            public long usualNanos() {
                return intervalNanos(INTERVAL_MS_PER_HOST * hostCount.getAsInt());
            }

            @Override
            public long awaitedNanos() {
                return intervalNanos(AWAITED_INTERVAL_MS_PER_HOST * hostCount.getAsInt());
            }
        };
    }

    private static long intervalNanos(long intervalMs) {
        return TimeUnit.MILLISECONDS.toNanos(Math.max(MIN_INTERVAL_MS, intervalMs));
    }

    private long recordRetentionNanos() {
        return mLedger.mayRemoveRecords() ? retention().streamNanos() : KEEP_NANOS;
    }

    /** Starts reading what the store holds, and removing what is old. */
    public void start() {
        list();
        mTimer = mVertx.setPeriodic(TICK_MS, t -> tick());
    }

    /** Does what is due each second. */
    void tick() {
        if (mClosed) {
            return;
        }
        observeTargets();
        mStatementWaits.removeOver();
        mWriter.removeOver();
        mWriter.writeNext();
        mTicks++;
        boolean isDue = mTicks % TICKS_PER_LISTING == 0;
        boolean isUseful = mLedger.hasSeveral() || mIsOwner.test(REMOVER);
        if (!mIsListed || (isDue && isUseful)) {
            list();
        }
    }

    private Retention retention() {
        mLongestLifetimeMs = Math.max(mLongestLifetimeMs, StreamLifetime.ofMs(mState.config()));
        return Retention.ofLifetime(mLongestLifetimeMs);
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        observeTargets();
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        observeTargets();
    }

    private void observeTargets() {
        if (mClosed) {
            return;
        }
        long now = mTicker.nanoTime();
        Set<Set<String>> groups = resumableServices();
        Set<TargetSoftware> registered = new HashSet<>();
        for (TargetInstance target : mState.targets().targetsById().values()) {
            TargetSoftware software = target.software();
            if (groups.stream().anyMatch(group -> group.contains(software.service()))) {
                registered.add(software);
                mTargetNames
                        .observe(target.id(), software)
                        .ifPresent(replacing -> mLedger.observeReplacing(replacing, now));
            }
        }
        mLedger.observeTargets(groups, registered, now, retention()).forEach(this::state);
        mWriter.schedule();
    }

    /** Returns the services of each route whose streams may be taken up. */
    private Set<Set<String>> resumableServices() {
        return mState.config().routes().values().stream()
                .filter(route -> route.kind() == RouteKind.RESUMABLE_STREAM)
                .map(ServingRoute::services)
                .collect(Collectors.toSet());
    }

    private void state(TargetSoftware version) {
        if (mBeingStated.add(version)) {
            mStatements.state(version).onSuccess(revision -> onStated(version, revision));
        }
    }

    private void onStated(TargetSoftware version, long revision) {
        mBeingStated.remove(version);
        mLedger.recordStated(version, revision, mTicker.nanoTime());
        mRecordedFirst.remove(version);
        mStatementWaits.complete(version);
        mWriter.schedule();
    }

    @Override
    public Future<Void> record(
            String streamId,
            @Nullable String customer,
            TargetSoftware software,
            BooleanSupplier isOver) {
        long key = StreamKey.of(customer, streamId);
        OriginLedger.Begin begin = mLedger.begin(key, software, mTicker.nanoTime(), retention());
        mWriter.schedule();
        return switch (begin) {
            case FORWARD -> Future.succeededFuture();
            case AWAIT_STATEMENT -> {
                state(software);
                yield mStatementWaits.add(software, isOver);
            }
            case AWAIT_RECORD -> {
                logRecordedFirst(software);
                yield mWriter.whenStored(key, isOver);
            }
        };
    }

    private void logRecordedFirst(TargetSoftware software) {
        if (mRecordedFirst.add(software)) {
            LOG.info(
                    "step=stream-version service={} version={} outcome=recorded-first",
                    software.service(),
                    software.version());
        }
    }

    @Override
    public Future<Finding> find(TakeUp takeUp) {
        Finding own = mLedger.findOwn(takeUp);
        return own == null
                ? findStored(takeUp, takeUp.streamId() == null ? 1 : MAX_READS)
                : Future.succeededFuture(own);
    }

    /** Finds a stream by a number of reads at most: its record may be on its way. */
    private Future<Finding> findStored(TakeUp takeUp, int reads) {
        return mReader.read()
                .map(listing -> Finding.ofStored(takeUp, listing.origins()))
                .otherwise(Finding.unknown(Finding.Source.STORE_SILENT))
                .compose(
                        finding ->
                                finding.mayBeRecordedSoon() && reads > 1
                                        ? mVertx.timer(READ_INTERVAL_MS, TimeUnit.MILLISECONDS)
                                                .compose(t -> findStored(takeUp, reads - 1))
                                        : Future.succeededFuture(finding));
    }

    private void list() {
        mReader.read()
                .onSuccess(this::onListed)
                .onFailure(
                        e ->
                                LOG.warn(
                                        "step=stream-origin outcome=not-read cause={}",
                                        e.getMessage()));
    }

    private void onListed(OriginListing listing) {
        mIsListed = true;
        mLedger.observeStored(listing.origins(), mTicker.nanoTime(), retention());
        observeTargets();
        if (mIsOwner.test(REMOVER) && !mState.targets().targetsById().isEmpty()) {
            removeOld(listing);
        }
    }

    /** Removes statements without targets, and buckets that their writers have left behind. */
    private void removeOld(OriginListing listing) {
        StoreTransaction removal = new StoreTransaction();
        long retentionMs = TimeUnit.NANOSECONDS.toMillis(retention().streamNanos());
        long keptSinceMs = System.currentTimeMillis() - retentionMs - CLOCK_MARGIN_MS;
        listing.buckets().stream()
                .filter(key -> ServingKeys.streamRecordsOpenedAtMs(key) < keptSinceMs)
                .limit(MAX_REMOVALS_PER_WRITE)
                .forEach(removal::delete);
        if (!removal.writes().isEmpty()) {
            commitRemoval(removal, "records");
        }
        for (TargetSoftware version : mLedger.removable(mTicker.nanoTime(), retention())) {
            Long revision = listing.origins().stated().get(version);
            if (revision != null) {
                removeStatement(version, revision);
            }
        }
    }

    private void removeStatement(TargetSoftware version, long revision) {
        String key = ServingKeys.streamVersion(StreamKey.of(version));
        commitRemoval(
                new StoreTransaction().ifUnchanged(key, revision).delete(key),
                version.service() + ' ' + version.version());
    }

    private void commitRemoval(StoreTransaction removal, String what) {
        mStore.commit(removal)
                .onSuccess(
                        result ->
                                LOG.info(
                                        "step=stream-origin what=\"{}\" keys={} outcome={}",
                                        what,
                                        removal.writes().size(),
                                        result.committed() ? "removed" : "changed-meanwhile"))
                .onFailure(
                        e ->
                                LOG.warn(
                                        "step=stream-origin what=\"{}\" outcome=kept cause={}",
                                        what,
                                        e.getMessage()));
    }

    /** Returns the number of records that are not certain to be in the store. */
    public int pendingRecords() {
        return mWriter.pending();
    }

    /** Returns the number of writes of records that the store has confirmed. */
    public long recordWrites() {
        return mWriter.stored();
    }

    @Override
    public void close() {
        mClosed = true;
        mVertx.cancelTimer(mTimer);
        mWriter.close();
        mStatements.close();
    }
}
