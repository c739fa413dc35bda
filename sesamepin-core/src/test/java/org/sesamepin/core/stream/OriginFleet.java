package org.sesamepin.core.stream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Hosts with their ledgers, a store and targets that change, in virtual time. Streams begin at the
 * versions that each host knows, all hosts are killed at once now and then, and callers take the
 * streams up at any host. Each stream's version is known to the simulation alone.
 */
final class OriginFleet {
    private record Event(long atMs, long number, Runnable action) {}

    private static final String SERVICE = "s";

    /** How long streams are known and statements kept. */
    static final Retention RETENTION = Retention.ofLifetime(15_000);

    private static final List<Set<String>> GROUPS = List.of(Set.of(SERVICE));
    private static final long WRITE_INTERVAL_MS = 50;
    private static final long KEEP_NANOS = TimeUnit.DAYS.toNanos(1);
    private static final long ANSWER_TIMEOUT_MS = 250;
    private static final long VIEW_LAG_MS = 250;
    private static final long SEARCH_MS = 250;
    private static final long LATE_STATEMENT_MS = 1_500;
    private static final long MAX_LATE_MS = 4_000;
    private static final int RESUME_JITTER_MS = 4;
    private static final long CATCH_UP_MS = 400;

    private final Random mRandom;
    private final FleetFaults mFaults;
    private final OriginCounts mCounts = new OriginCounts();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::number));

    private final FleetPace mPace;
    private final Map<TargetSoftware, Long> mStatements = new HashMap<>();
    private final Map<String, byte[]> mBuckets = new TreeMap<>();
    private final List<Host> mHosts = new ArrayList<>();
    private final TreeMap<Long, Set<String>> mTargets = new TreeMap<>();
    private long mNumber;
    private long mNowMs;
    private long mRevision;

    OriginFleet(
            long seed,
            int hosts,
            FleetFaults faults,
            FleetPace pace,
            TreeMap<Long, Set<String>> targets) {
        mRandom = new Random(seed);
        mFaults = faults;
        mPace = pace;
        mTargets.putAll(targets);
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new Host(i));
        }
    }

    /** Runs for a time and returns the counts. */
    OriginCounts run(long untilMs) {
        mHosts.forEach(host -> at(mRandom.nextInt(200), host::start));
        for (long kill : mFaults.kills()) {
            at(kill, () -> mHosts.forEach(Host::kill));
            mHosts.forEach(host -> at(kill + 500 + mRandom.nextInt(700), host::start));
        }
        Event event = mEvents.poll();
        while (event != null && event.atMs() <= untilMs) {
            mNowMs = event.atMs();
            event.action().run();
            event = mEvents.poll();
        }
        return mCounts;
    }

    private void at(long atMs, Runnable action) {
        mEvents.add(new Event(atMs, ++mNumber, action));
    }

    private void in(long delayMs, Runnable action) {
        at(mNowMs + delayMs, action);
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMs);
    }

    private Set<String> versionsAt(long atMs) {
        Map.Entry<Long, Set<String>> entry = mTargets.floorEntry(Math.max(0, atMs));
        return entry == null ? Set.of() : entry.getValue();
    }

    private long latencyMs() {
        return 1 + mRandom.nextInt(mRandom.nextInt(10) == 0 ? 120 : 12);
    }

    /** Carries out a write at some moment and answers, or not. */
    private void write(Runnable effect, Runnable onAnswer) {
        mCounts.mWrites++;
        double draw = mRandom.nextDouble();
        if (draw < mFaults.lateShare()) {
            in(mRandom.nextInt((int) MAX_LATE_MS), effect);
            return;
        }
        boolean isLost = draw < mFaults.lateShare() + mFaults.lostShare();
        boolean isDone = !isLost || mRandom.nextBoolean();
        in(
                latencyMs(),
                () -> {
                    if (isDone) {
                        effect.run();
                    }
                    if (!isLost) {
                        in(latencyMs(), onAnswer);
                    }
                });
    }

    private void read(Consumer<StoredOrigins> onAnswer) {
        mCounts.mReads++;
        if (mRandom.nextDouble() < mFaults.lostShare()) {
            return;
        }
        in(
                latencyMs(),
                () -> {
                    StoredOrigins stored = new StoredOrigins();
                    mStatements.forEach(stored::addStatement);
                    mBuckets.values()
                            .forEach(b -> StreamRecordCodec.decode(b).forEach(stored::addRecord));
                    in(latencyMs(), () -> onAnswer.accept(stored));
                });
    }

    private void takeUp(String id, String version) {
        Host host = mHosts.get(selectHost());
        if (!host.mRuns) {
            return;
        }
        mCounts.mTakenUp++;
        host.whenRunning(
                () -> host.find(id, mNowMs, mNowMs + 500, origin -> mCounts.add(origin, version)));
    }

    /** Selects any host, or as often one that is out of step or was until just now. */
    private int selectHost() {
        if (mRandom.nextBoolean()) {
            for (HostOutage outage : mFaults.outages()) {
                if (outage.holds(mNowMs) || outage.holds(mNowMs - CATCH_UP_MS)) {
                    return outage.host();
                }
            }
        }
        return mRandom.nextInt(mHosts.size());
    }

    private boolean isKnown(String id, String version) {
        TargetSoftware software = new TargetSoftware(SERVICE, version);
        StreamRecord record = new StreamRecord(StreamKey.of("c", id), software);
        return mStatements.containsKey(software)
                || mBuckets.values().stream()
                        .anyMatch(b -> StreamRecordCodec.decode(b).contains(record));
    }

    private final class Host {
        private final int mNumber;
        private final String mName;
        private int mLife;
        private boolean mRuns;
        private int mStreams;
        private OriginLedger mLedger = newLedger();

        /** What forwards the streams whose records are not stored yet, by their keys. */
        private final Map<Long, Runnable> mAwaiting = new HashMap<>();

        Host(int number) {
            mNumber = number;
            mName = "h" + number;
        }

        private @Nullable HostOutage outage(HostOutage.Kind kind) {
            return mFaults.outages().stream()
                    .filter(o -> o.host() == mNumber && o.holds(mNowMs))
                    .filter(o -> o.kind() == kind)
                    .findFirst()
                    .orElse(null);
        }

        /** Runs an action at once, or after the pause of the process. */
        private void whenRunning(Runnable action) {
            HostOutage pause = outage(HostOutage.Kind.PAUSED);
            if (pause == null) {
                action.run();
            } else {
                at(pause.untilMs() + mRandom.nextInt(RESUME_JITTER_MS), () -> whenRunning(action));
            }
        }

        private void readStore(Consumer<StoredOrigins> onAnswer) {
            if (outage(HostOutage.Kind.STORE_UNREACHABLE) == null) {
                read(stored -> whenRunning(() -> onAnswer.accept(stored)));
            }
        }

        private void writeStore(Runnable effect, Runnable onAnswer) {
            if (outage(HostOutage.Kind.STORE_UNREACHABLE) == null) {
                write(effect, () -> whenRunning(onAnswer));
            }
        }

        private OriginLedger newLedger() {
            String life = mName + '-' + mLife;
            return new OriginLedger(
                    new RecordJournal(n -> life + '-' + n, TimeUnit.SECONDS.toNanos(1)), 10_000);
        }

        void start() {
            mLife++;
            mRuns = true;
            mLedger = newLedger();
            ifAlive(20, this::listUntilAnswered).run();
            observe();
            beginNext();
            if (mPace.listingIntervalMs() > 0) {
                ifAlive(mPace.listingIntervalMs(), this::listAndRemove).run();
            }
        }

        private void listAndRemove() {
            int life = mLife;
            readStore(
                    stored -> {
                        if (life == mLife) {
                            mLedger.observeStored(stored, nanos(), RETENTION);
                            mLedger.removable(nanos(), RETENTION)
                                    .forEach(v -> removeStatement(v, stored.stated().get(v)));
                        }
                    });
            ifAlive(mPace.listingIntervalMs(), this::listAndRemove).run();
        }

        private void removeStatement(TargetSoftware version, @Nullable Long revision) {
            writeStore(
                    () -> {
                        if (revision != null && mStatements.remove(version, revision)) {
                            mCounts.mRemovals++;
                        }
                    },
                    () -> {});
        }

        void kill() {
            mRuns = false;
            mLife++;
            mAwaiting.clear();
        }

        /** Returns an action that does nothing when this life has ended; run after a delay. */
        private Runnable ifAlive(long delayMs, Runnable action) {
            int life = mLife;
            return () ->
                    in(
                            delayMs,
                            () ->
                                    whenRunning(
                                            () -> {
                                                if (life == mLife) {
                                                    action.run();
                                                }
                                            }));
        }

        private void listUntilAnswered() {
            int life = mLife;
            boolean[] answered = new boolean[1];
            readStore(
                    stored -> {
                        if (life == mLife) {
                            answered[0] = true;
                            mLedger.observeStored(stored, nanos(), RETENTION);
                        }
                    });
            ifAlive(
                            500,
                            () -> {
                                if (!answered[0]) {
                                    listUntilAnswered();
                                }
                            })
                    .run();
        }

        private Set<String> view() {
            long atMs = mNowMs - mRandom.nextInt((int) VIEW_LAG_MS);
            for (HostOutage outage : mFaults.outages()) {
                if (outage.host() == mNumber && outage.holds(atMs)) {
                    return versionsAt(outage.fromMs());
                }
            }
            return versionsAt(atMs);
        }

        private void observe() {
            Set<TargetSoftware> registered = new HashSet<>();
            view().forEach(version -> registered.add(new TargetSoftware(SERVICE, version)));
            mLedger.observeTargets(GROUPS, registered, nanos(), RETENTION).forEach(this::stateSoon);
            flush();
            ifAlive(50, this::observe).run();
        }

        private void stateSoon(TargetSoftware version) {
            long delayMs = mFaults.statesFirst() ? 0 : LATE_STATEMENT_MS;
            ifAlive(delayMs, () -> state(version, () -> {})).run();
        }

        private void state(TargetSoftware version, Runnable onStated) {
            int life = mLife;
            boolean[] stated = new boolean[1];
            long[] revision = new long[1];
            writeStore(
                    () -> {
                        revision[0] = ++mRevision;
                        mStatements.put(version, revision[0]);
                    },
                    () -> {
                        if (life == mLife && !stated[0]) {
                            stated[0] = true;
                            mLedger.recordStated(version, revision[0], nanos());
                            onStated.run();
                        }
                    });
            ifAlive(
                            200,
                            () -> {
                                if (!stated[0]) {
                                    stated[0] = true;
                                    state(version, onStated);
                                }
                            })
                    .run();
        }

        private void flush() {
            long interval = TimeUnit.MILLISECONDS.toNanos(WRITE_INTERVAL_MS);
            if (mLedger.journal().delayNanos(nanos(), interval, interval) != 0) {
                return;
            }
            long retention = mLedger.mayRemoveRecords() ? RETENTION.streamNanos() : KEEP_NANOS;
            RecordJournal.Write write = mLedger.journal().next(nanos(), retention);
            if (write == null) {
                return;
            }
            int life = mLife;
            boolean[] decided = new boolean[1];
            writeStore(
                    () -> apply(write),
                    () -> {
                        if (life != mLife) {
                            return;
                        }
                        if (decided[0]) {
                            mLedger.journal().onStoredLate(write);
                        } else {
                            decided[0] = true;
                            mLedger.journal().onStored();
                            ifAlive(WRITE_INTERVAL_MS, this::flush).run();
                        }
                        forwardStored();
                    });
            ifAlive(
                            ANSWER_TIMEOUT_MS,
                            () -> {
                                if (!decided[0]) {
                                    decided[0] = true;
                                    mLedger.journal().onFailed(nanos());
                                    flush();
                                }
                            })
                    .run();
        }

        private void apply(RecordJournal.Write write) {
            String bucket = write.bucket();
            if (bucket != null) {
                mBuckets.put(bucket, StreamRecordCodec.encode(write.records()));
            }
            write.removals().forEach(mBuckets::remove);
        }

        private void beginNext() {
            List<String> versions = List.copyOf(view());
            if (!versions.isEmpty()) {
                String version = versions.get(mRandom.nextInt(versions.size()));
                String id = mName + '-' + mLife + '-' + ++mStreams;
                ifAlive(5, () -> begin(id, version)).run();
            }
            long mean = mPace.meanBeginIntervalMs();
            ifAlive(mean / 2 + mRandom.nextInt((int) mean), this::beginNext).run();
        }

        private void begin(String id, String version) {
            TargetSoftware serviceVersion = new TargetSoftware(SERVICE, version);
            long key = StreamKey.of("c", id);
            OriginLedger.Begin begin = mLedger.begin(key, serviceVersion, nanos(), RETENTION);
            flush();
            if (begin == OriginLedger.Begin.FORWARD || !mFaults.statesFirst()) {
                forward(id, version);
            } else if (begin == OriginLedger.Begin.AWAIT_STATEMENT) {
                state(serviceVersion, () -> forward(id, version));
            } else {
                mAwaiting.put(key, () -> forward(id, version));
                ifAlive(WRITE_INTERVAL_MS, this::flush).run();
            }
        }

        private void forwardStored() {
            for (Long key : List.copyOf(mAwaiting.keySet())) {
                if (!mLedger.journal().isPending(key)) {
                    mAwaiting.remove(key).run();
                }
            }
        }

        private void forward(String id, String version) {
            mCounts.mBegun++;
            if (!isKnown(id, version)) {
                mCounts.mUnknown++;
            }
            in(1 + mRandom.nextInt(mPace.maxStreamMs()), () -> takeUp(id, version));
        }

        void find(String id, long since, long deadline, Consumer<Finding> onOrigin) {
            TakeUp takeUp = new TakeUp(id, "c", List.of(SERVICE));
            Finding own = mLedger.findOwn(takeUp);
            if (own != null) {
                onOrigin.accept(own);
                return;
            }
            boolean[] decided = new boolean[1];
            readStore(stored -> decide(decided, stored, id, since, deadline, onOrigin));
            in(150, () -> whenRunning(() -> retryRead(decided, id, since, deadline, onOrigin)));
            at(
                    Math.max(mNowMs, deadline),
                    () ->
                            whenRunning(
                                    () -> {
                                        if (!decided[0]) {
                                            decided[0] = true;
                                            onOrigin.accept(
                                                    Finding.unknown(Finding.Source.STORE_SILENT));
                                        }
                                    }));
        }

        private void retryRead(
                boolean[] decided,
                String id,
                long since,
                long deadline,
                Consumer<Finding> onOrigin) {
            if (!decided[0]) {
                readStore(stored -> decide(decided, stored, id, since, deadline, onOrigin));
            }
        }

        private void decide(
                boolean[] decided,
                StoredOrigins stored,
                String id,
                long since,
                long deadline,
                Consumer<Finding> onOrigin) {
            if (decided[0]) {
                return;
            }
            decided[0] = true;
            TakeUp takeUp = new TakeUp(id, "c", List.of(SERVICE));
            Finding origin = Finding.ofStored(takeUp, stored);
            boolean isUnknown = origin.mayBeRecordedSoon();
            if (isUnknown && mNowMs - since + 80 <= SEARCH_MS) {
                in(80, () -> whenRunning(() -> find(id, since, deadline, onOrigin)));
            } else {
                onOrigin.accept(origin);
            }
        }
    }
}
