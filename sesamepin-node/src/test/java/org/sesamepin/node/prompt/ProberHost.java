package org.sesamepin.node.prompt;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.PromptSuspects;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.core.prompt.TargetEnd;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.WatchableStore;

/** A host with an {@link ItemProber}, whose peers hear its messages at once. */
final class ProberHost {
    static final String SERVICE = "s";
    static final Suspect SUSPECT = new Suspect(SERVICE, Set.of("shared"));

    private final Ticker mTicker;
    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private final PromptSuspects mSuspects;
    private final ItemProber mProber;
    private final PromptQuarantineStore mStore;
    private final List<ProberHost> mPeers = new ArrayList<>();
    private boolean mEnded;

    ProberHost(
            Vertx vertx,
            Ticker ticker,
            WatchableStore store,
            ServiceTargets targets,
            OutageCheck.Connector connector) {
        mTicker = ticker;
        mSuspects =
                new PromptSuspects(PromptSuspects.TargetIdentity.INCARNATION, ticker.nanoTime());
        mStore =
                new PromptQuarantineStore(
                        vertx,
                        new QuarantineStorage(ServingKeys.promptQuarantinePrefix(), store::commit),
                        this::adopt,
                        this::lift,
                        mQuarantine::isInForce);
        mProber =
                new ItemProber(
                        vertx,
                        ticker,
                        mQuarantine,
                        mSuspects,
                        mStore,
                        targets,
                        new OutageCheck(connector, new Random(1)),
                        this::announce);
        store.list(ServingKeys.CONTROL_PREFIX)
                .onSuccess(
                        listing -> {
                            mStore.onListing(listing, false);
                            watch(store, listing.revision());
                        });
    }

    private void watch(WatchableStore store, long revision) {
        store.watch(ServingKeys.CONTROL_PREFIX, revision, 0)
                .onSuccess(changes -> onChanges(store, changes));
    }

    private void onChanges(WatchableStore store, StoreChanges changes) {
        if (!mEnded) {
            mStore.onChanges(changes, false);
            watch(store, changes.revision());
        }
    }

    void addPeer(ProberHost peer) {
        mPeers.add(peer);
    }

    /** Ends this host: it tells and learns nothing any more. */
    void end() {
        mEnded = true;
        mPeers.clear();
    }

    /** Identifies the suspect. */
    void identify() {
        announce(PromptQuarantine.Entry.startingAt(SUSPECT, System.currentTimeMillis()), true);
    }

    private void announce(PromptQuarantine.Entry entry, boolean toStore) {
        adopt(entry);
        if (toStore) {
            mStore.put(entry);
        }
        mPeers.forEach(peer -> peer.adopt(entry));
    }

    private void adopt(PromptQuarantine.Entry entry) {
        if (!mEnded && mQuarantine.add(entry)) {
            mProber.recordChange(entry.suspect());
        }
    }

    private void lift(Suspect suspect) {
        if (mQuarantine.lift(suspect)) {
            mProber.recordChange(suspect);
        }
    }

    PromptQuarantine.Entry entry() {
        return Objects.requireNonNull(mQuarantine.get(SUSPECT));
    }

    private static PromptParts promptOf(String item) {
        return new PromptParts(List.of("shared")).withItem(item);
    }

    /** Claims a probe if it is due, and returns whether the item may be sent by now. */
    boolean claim(String item) {
        mProber.claim(SERVICE, promptOf(item), () -> {});
        return mProber.mayBeSent(entry(), item);
    }

    boolean mayBeSent(String item) {
        return mProber.mayBeSent(entry(), item);
    }

    void recordSent(String item, String target) {
        mProber.recordSent(SERVICE, target, promptOf(item));
    }

    /** Records that the target of an item ended, and tells the peers. */
    void recordEnd(String item, LostTarget target) {
        mProber.recordLostRun(target, promptOf(item));
        recordEnd(promptOf(item), target);
    }

    /** Records that a target ended under a request, and tells the peers. */
    void recordEnd(PromptParts prompt, LostTarget target) {
        TargetEnd.Run run = TargetEnd.Run.afterEvents(prompt, 0);
        TargetEnd end = new TargetEnd(SERVICE, target.id(), List.of(run));
        mProber.recordEnd(end);
        mSuspects.recordEnd(end, mTicker.nanoTime());
        mPeers.forEach(peer -> peer.mSuspects.recordEnd(end, mTicker.nanoTime()));
    }
}
