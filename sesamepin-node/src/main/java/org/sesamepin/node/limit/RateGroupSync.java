package org.sesamepin.node.limit;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.limit.GroupRates;
import org.sesamepin.core.limit.RateGroupMember;
import org.sesamepin.core.limit.ShareAnswer;
import org.sesamepin.core.limit.ShareHandover;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerFailureException;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.RateHandover;
import org.sesamepin.node.peer.generated.ShareReply;
import org.sesamepin.node.peer.generated.ShareRequest;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the shares of rate groups between hosts: a leader asks the other holders for theirs,
 * and hands everything over when it stops. Confined to the event loop.
 */
public final class RateGroupSync {
    /** Interval at which {@link #tick} is to be called, milliseconds. */
    public static final long TICK_MS = 100;

    private static final Logger LOG = LoggerFactory.getLogger(RateGroupSync.class);
    private static final long SHARE_TIMEOUT_MS = 600;
    private static final long HANDOVER_TIMEOUT_MS = 600;
    private static final long UPDATE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final GroupState NOT_LOGGED = new GroupState("-", "0.000", 0);

    /** Who leads a group, and what this host holds of its rates, as last logged. */
    private record GroupState(String leader, String fraction, long at) {}

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final GroupRates mRates;
    private final OlderBuilds mOlderBuilds;
    private final Map<String, GroupState> mLoggedByGroup = new HashMap<>();
    private @Nullable Long mUpdatedAt;
    private long mPeersVersion;
    private long mConfigVersion;

    /**
     * Creates the exchange without starting it.
     *
     * @param rates this host's part in the rate groups
     * @param olderBuilds receives the holders that do not know rate groups
     */
    public RateGroupSync(
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient peerClient,
            GroupRates rates,
            OlderBuilds olderBuilds) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
        mRates = rates;
        mOlderBuilds = olderBuilds;
    }

    /** Takes over changed hosts and customers, and asks for the shares of the groups it leads. */
    public void tick() {
        if (mPeers.isLargeFleet()) {
            updateIfChanged();
            mRates.members().forEach(this::lead);
        }
    }

    /** Records that this process has used its share of the customer's burst by loans. */
    public void recordLoanUse(String customer) {
        mRates.recordOtherwiseServed(customer);
    }

    /** Takes over the registered hosts and the customers if they changed, or after a second. */
    public void updateIfChanged() {
        long now = mTicker.nanoTime();
        Long updatedAt = mUpdatedAt;
        boolean isCurrent =
                updatedAt != null
                        && mPeersVersion == mPeers.version()
                        && mConfigVersion == mState.config().version()
                        && now - updatedAt < UPDATE_INTERVAL_NANOS;
        if (isCurrent) {
            return;
        }
        mUpdatedAt = now;
        mPeersVersion = mPeers.version();
        mConfigVersion = mState.config().version();
        Collection<CustomerSpec> limited =
                mState.config().customers().values().stream()
                        .filter(CustomerSpec::isLimited)
                        .toList();
        mRates.update(mPeers.coresByRateHost(), limited, now);
        mLoggedByGroup.keySet().retainAll(mRates.members().keySet());
    }

    private void lead(String group, RateGroupMember member) {
        long now = mTicker.nanoTime();
        member.updateLeading(host -> mPeers.find(host) != null, now);
        for (String holder : member.holdersToAsk(now)) {
            PeerTable.Peer peer = mPeers.findRegistered(holder);
            if (peer != null) {
                askForShare(group, member, peer);
            }
        }
        logChange(group, member, now);
    }

    private void logChange(String group, RateGroupMember member, long now) {
        String leader = member.leader(now);
        String fraction = String.format(Locale.ROOT, "%.3f", member.fraction(now));
        GroupState logged = mLoggedByGroup.getOrDefault(group, NOT_LOGGED);
        GroupState state = new GroupState(leader == null ? "-" : leader, fraction, now);
        boolean isSameLeader = state.leader().equals(logged.leader());
        boolean isSame = isSameLeader && fraction.equals(logged.fraction());
        // Delegations that arrive one by one are one change.
        boolean isTooSoon =
                isSameLeader
                        && logged != NOT_LOGGED
                        && now - logged.at() < RateGroupMember.ASK_INTERVAL_NANOS;
        if (isSame || isTooSoon) {
            return;
        }
        mLoggedByGroup.put(group, state);
        LOG.info("step=limit group={} leader={} fraction={}", group, state.leader(), fraction);
    }

    private void askForShare(String group, RateGroupMember member, PeerTable.Peer peer) {
        long sequence = member.nextSequence();
        long sentAt = mTicker.nanoTime();
        PeerRequest request =
                PeerRequest.shareRequest(new ShareRequest(group, mPeers.self(), sequence));
        mPeerClient
                .call(peer.address(), request, SHARE_TIMEOUT_MS)
                .onSuccess(
                        reply -> {
                            ShareReply share = reply.getShareReply();
                            if (share.isDelegated()) {
                                member.onShareReply(
                                        peer.name(),
                                        sequence,
                                        sentAt,
                                        share.getFraction(),
                                        share.isSetTokens() ? share.getTokens() : Map.of(),
                                        mTicker.nanoTime());
                            }
                        })
                .onFailure(
                        e -> {
                            if (e instanceof PeerFailureException) {
                                mOlderBuilds.recordHolder(peer.name(), mTicker.nanoTime());
                            }
                        });
    }

    /** Handles the request of another host for this host's share, or the notice that it is free. */
    public PeerReply handleShareRequest(ShareRequest request) {
        updateIfChanged();
        RateGroupMember member = mRates.member(request.getGroup());
        long now = mTicker.nanoTime();
        if (member == null) {
            return PeerReply.shareReply(new ShareReply(false, 0));
        }
        if (request.isReleased()) {
            member.onRelease(request.getHost(), request.getSequence(), now);
            return PeerReply.done(new Done());
        }
        ShareAnswer answer = member.onShareRequest(request.getHost(), request.getSequence(), now);
        release(request.getGroup(), answer.released(), answer.sequence());
        ShareReply reply = new ShareReply(answer.delegated(), answer.fraction());
        if (!answer.tokens().isEmpty()) {
            reply.setTokens(answer.tokens());
        }
        return PeerReply.shareReply(reply);
    }

    private void release(String group, List<String> holders, long sequence) {
        for (String holder : holders) {
            PeerTable.Peer peer = mPeers.findRegistered(holder);
            if (peer != null) {
                ShareRequest notice = new ShareRequest(group, mPeers.self(), sequence);
                notice.setReleased(true);
                mPeerClient
                        .call(peer.address(), PeerRequest.shareRequest(notice), SHARE_TIMEOUT_MS)
                        .onFailure(e -> logLost(group, holder, "release", e));
            }
        }
    }

    private static void logLost(String group, String host, String message, Throwable cause) {
        LOG.info(
                "step=limit group={} holder={} message={} outcome=no-answer cause={}",
                group,
                host,
                message,
                cause.getMessage());
    }

    /**
     * Hands the groups that this host leads over to their next holders, since this process is about
     * to stop. Completes when the tokens have arrived, or are given up.
     */
    public Future<Void> handOver() {
        if (!mPeers.isLargeFleet()) {
            return Future.succeededFuture();
        }
        List<Future<PeerReply>> handovers = new ArrayList<>();
        mRates.members().forEach((group, member) -> handovers.add(handOver(group, member)));
        return Future.join(handovers).transform(done -> Future.succeededFuture());
    }

    private Future<PeerReply> handOver(String group, RateGroupMember member) {
        long now = mTicker.nanoTime();
        ShareHandover handover = member.stop(now);
        String next = member.successor(host -> mPeers.find(host) != null, now);
        release(group, handover.released(), handover.sequence());
        PeerTable.Peer peer = next == null ? null : mPeers.findRegistered(next);
        if (peer == null || (handover.tokens().isEmpty() && handover.released().isEmpty())) {
            return Future.succeededFuture(PeerReply.done(new Done()));
        }
        LOG.info(
                "step=limit group={} outcome=handed-over to={} customers={}",
                group,
                peer.name(),
                handover.tokens().size());
        RateHandover message =
                new RateHandover(group, handover.tokens(), mPeers.self(), handover.sequence());
        return mPeerClient
                .call(peer.address(), PeerRequest.rateHandover(message), HANDOVER_TIMEOUT_MS)
                .onFailure(e -> logLost(group, peer.name(), "handover", e));
    }

    /** Handles the tokens of a leader that stops. */
    public PeerReply handleHandover(RateHandover handover) {
        RateGroupMember member = mRates.member(handover.getGroup());
        if (member != null) {
            member.onHandover(
                    handover.getHost(),
                    handover.getSequence(),
                    handover.getTokensByCustomer(),
                    mTicker.nanoTime());
        }
        return PeerReply.done(new Done());
    }

    /** Returns the part of the rates that this host holds, the mean over all groups, 0 to 1. */
    public double meanFraction() {
        long now = mTicker.nanoTime();
        return mRates.members().values().stream()
                .mapToDouble(member -> member.fraction(now))
                .average()
                .orElse(0);
    }
}
