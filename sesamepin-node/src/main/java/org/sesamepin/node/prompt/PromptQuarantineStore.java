package org.sesamepin.node.prompt;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.prompt.ProbeSchedule;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.node.serving.StoreMirror;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.StoredJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the quarantine of prompts in the store, so that it outlasts all hosts and reaches hosts
 * that start later. Writes are repeated until the store holds them. A record that this host cannot
 * read is left as it is, since another build may have written it; an entry of the same parts is
 * written when it is gone or readable. Confined to the event loop.
 */
final class PromptQuarantineStore implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PromptQuarantineStore.class);

    /** Time in which the host that identified a part has written its entry. */
    private static final long MAX_WRITE_DELAY_MS = 400;

    private static final long RETRY_DELAY_MS = 1_000;

    /** An entry as the store holds it. */
    private record Stored(PromptQuarantine.Entry entry, long revision) {}

    private final Vertx mVertx;
    private final QuarantineStorage mStorage;
    private final Consumer<PromptQuarantine.Entry> mOnEntry;
    private final Consumer<Suspect> mOnRemoved;
    private final Predicate<PromptQuarantine.Entry> mIsInForce;
    private final Map<String, Stored> mStored = new HashMap<>();

    /** Revisions of the records that this host cannot read, by key. */
    private final Map<String, Long> mUnreadable = new HashMap<>();

    /** Entries that are to be written when the unreadable record of their key has changed. */
    private final Map<String, PromptQuarantine.Entry> mHeldBack = new HashMap<>();

    private boolean mListed;

    /**
     * Creates the store's side of a quarantine.
     *
     * @param onEntry receives each entry that is read
     * @param onRemoved receives the suspect of each entry that is gone
     * @param isInForce whether an entry is still to be stored
     */
    PromptQuarantineStore(
            Vertx vertx,
            QuarantineStorage storage,
            Consumer<PromptQuarantine.Entry> onEntry,
            Consumer<Suspect> onRemoved,
            Predicate<PromptQuarantine.Entry> isInForce) {
        mVertx = vertx;
        mStorage = storage;
        mOnEntry = onEntry;
        mOnRemoved = onRemoved;
        mIsInForce = isInForce;
    }

    private String key(Suspect suspect) {
        return mStorage.keyPrefix() + suspect.service() + '/' + suspect.label();
    }

    private boolean isOwnKey(String key) {
        return key.startsWith(mStorage.keyPrefix());
    }

    /** Returns whether the entries were read from the store. */
    boolean isListed() {
        return mListed;
    }

    /** Writes an entry later, unless the store holds it by then; for entries of peers. */
    void putLater(PromptQuarantine.Entry entry) {
        long delay = 1 + ThreadLocalRandom.current().nextLong(MAX_WRITE_DELAY_MS);
        mVertx.setTimer(delay, t -> put(entry));
    }

    /** Removes an entry later, unless another host has done so by then. */
    void removeLater(PromptQuarantine.Entry entry) {
        long delay = 1 + ThreadLocalRandom.current().nextLong(MAX_WRITE_DELAY_MS);
        mVertx.setTimer(delay, t -> remove(entry));
    }

    /** Writes an entry, unless the store holds one as new, or a record that is unreadable. */
    void put(PromptQuarantine.Entry entry) {
        String key = key(entry.suspect());
        if (mUnreadable.containsKey(key)) {
            mHeldBack.merge(key, entry, PromptQuarantine.Entry::mergedWith);
            return;
        }
        Stored stored = mStored.get(key);
        String value = encode(stored == null ? entry : entry.mergedWith(stored.entry()));
        boolean isStored = stored != null && value.equals(encode(stored.entry()));
        if (isStored || !mIsInForce.test(entry)) {
            return;
        }
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifUnchanged(key, stored == null ? 0 : stored.revision())
                        .put(key, value);
        mStorage.commit()
                .apply(transaction)
                .onSuccess(
                        result -> {
                            if (!result.committed()) {
                                retry(entry, "another host has written it");
                            }
                        })
                .onFailure(e -> retry(entry, e.getMessage()));
    }

    /** Writes an entry again after a while; by then the mirror shows what other hosts wrote. */
    private void retry(PromptQuarantine.Entry entry, @Nullable String cause) {
        LOG.warn(
                "step=prompt-quarantine prompt={} outcome=not-stored cause={}",
                entry.suspect().label(),
                cause);
        mVertx.setTimer(RETRY_DELAY_MS, t -> put(entry));
    }

    /**
     * Removes an entry from the store, unless the store holds a newer quarantine of the same parts.
     */
    void remove(PromptQuarantine.Entry entry) {
        String key = key(entry.suspect());
        Stored stored = mStored.get(key);
        if (stored == null || stored.entry().sinceMs() > entry.sinceMs()) {
            return;
        }
        mStorage.commit()
                .apply(new StoreTransaction().ifUnchanged(key, stored.revision()).delete(key))
                .map(StoreResult::committed)
                .otherwise(false)
                .onSuccess(
                        removed -> {
                            if (!removed) {
                                mVertx.setTimer(RETRY_DELAY_MS, t -> remove(entry));
                            }
                        });
    }

    /**
     * Replaces an entry by {@code claimed}, if the store holds none that this host does not know.
     * Returns whether the store has replaced it; the future fails when that is unknown.
     */
    Future<Boolean> claim(PromptQuarantine.Entry claimed) {
        String key = key(claimed.suspect());
        Stored stored = mStored.get(key);
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifUnchanged(key, stored == null ? 0 : stored.revision())
                        .put(key, encode(claimed));
        return mStorage.commit().apply(transaction).map(StoreResult::committed);
    }

    private static String encode(PromptQuarantine.Entry entry) {
        return new JsonObject()
                .put("service", entry.suspect().service())
                .put("parts", new JsonArray(List.copyOf(entry.suspect().parts())))
                .put("since_ms", entry.sinceMs())
                .put("until_ms", entry.untilMs())
                // Hosts of older versions wait the longer the more claims they read here.
                .put("item_claims", entry.failedProbes())
                .put("probe_claims", entry.probeClaims())
                .put("failed_probes", entry.failedProbes())
                .put("next_item_probe_ms", entry.nextProbeMs())
                .encode();
    }

    /** Returns the entry of a record; null if it is unreadable, which is logged once a revision. */
    private PromptQuarantine.@Nullable Entry decode(StoreEntry stored) {
        try {
            return StoredJson.decode(
                    stored.key(), stored.value(), PromptQuarantineStore::decodeEntry);
        } catch (SesamepinException e) {
            Long known = mUnreadable.put(stored.key(), stored.modRevision());
            if (known == null || known != stored.modRevision()) {
                LOG.error(
                        "step=prompt-quarantine key={} outcome=unusable cause={}",
                        stored.key(),
                        e.toString());
            }
            return null;
        }
    }

    private static PromptQuarantine.Entry decodeEntry(JsonObject json) {
        Set<String> parts = new HashSet<>();
        json.getJsonArray("parts").forEach(part -> parts.add((String) part));
        PromptQuarantine.Entry entry =
                new PromptQuarantine.Entry(
                        new Suspect(json.getString("service"), parts),
                        json.getLong("since_ms"),
                        json.getLong("until_ms"));
        int countedByOlder = json.getInteger("item_claims", 0);
        int claims = json.getInteger("probe_claims", countedByOlder);
        // Hosts of older versions store no failures.
        int failures =
                json.getInteger("failed_probes", ProbeSchedule.failuresOfClaims(countedByOlder));
        return new PromptQuarantine.Entry(
                entry.suspect(),
                entry.sinceMs(),
                entry.untilMs(),
                claims,
                failures,
                json.getLong("next_item_probe_ms", entry.nextProbeMs()),
                "");
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        mListed = true;
        Set<String> listed = new HashSet<>();
        for (StoreEntry entry : listing.entries()) {
            if (isOwnKey(entry.key())) {
                listed.add(entry.key());
                read(entry);
            }
        }
        Set<String> known = new HashSet<>(mStored.keySet());
        known.addAll(mUnreadable.keySet());
        known.removeAll(listed);
        known.forEach(this::drop);
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        for (StoreChange change : changes.changes()) {
            if (!isOwnKey(change.key())) {
                continue;
            }
            StoreEntry entry = change.entry();
            if (entry == null) {
                drop(change.key());
            } else {
                read(entry);
            }
        }
    }

    private void read(StoreEntry stored) {
        PromptQuarantine.Entry entry = decode(stored);
        if (entry != null) {
            mStored.put(stored.key(), new Stored(entry, stored.modRevision()));
            mOnEntry.accept(entry);
            onReadable(stored.key());
        }
    }

    private void drop(String key) {
        Stored removed = mStored.remove(key);
        if (removed != null) {
            mOnRemoved.accept(removed.entry().suspect());
        }
        onReadable(key);
    }

    /** Writes what an unreadable record of {@code key} held back, if anything. */
    private void onReadable(String key) {
        mUnreadable.remove(key);
        PromptQuarantine.Entry heldBack = mHeldBack.remove(key);
        if (heldBack != null) {
            put(heldBack);
        }
    }
}
