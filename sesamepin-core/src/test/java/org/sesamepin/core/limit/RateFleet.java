package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.sesamepin.core.serving.CustomerSpec;

/**
 * Hosts of a large fleet that exchange the messages of rate groups on a virtual clock, with delay,
 * loss and reordering.
 */
final class RateFleet {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TICK = 100 * MS;

    private record Event(long at, long number, Runnable action) {}

    /** A request that was admitted, with its time in nanoseconds. */
    record Admitted(long at, String customer) {}

    /** One host with its own monotonic clock, which a pause does not stop. */
    private final class Host {
        private final String mName;
        private final RecentRefusals mRefusals = new RecentRefusals();
        private GroupRates mRates;
        private final HolderAvoidance mAvoidance = new HolderAvoidance();
        private Map<String, Double> mView;
        private boolean mLost;
        private long mPausedUntil;

        Host(String name, Map<String, Double> view) {
            mName = name;
            mView = view;
            mRates = new GroupRates(name, 0);
        }

        boolean reaches(String other) {
            return mView.containsKey(other) && !mAvoidance.isAvoided(other, mNow);
        }

        void tick() {
            if (!mLost) {
                mRates.update(mView, mCustomers, mNow);
                mRates.members().forEach(this::lead);
                after(TICK, () -> resume(this::tick));
            }
        }

        /** Runs {@code action} when the host is not paused. */
        void resume(Runnable action) {
            if (mPausedUntil > mNow) {
                after(mPausedUntil - mNow, () -> resume(action));
            } else {
                action.run();
            }
        }

        private void lead(String group, RateGroupMember member) {
            if (!member.updateLeading(mView::containsKey, mNow)) {
                return;
            }
            for (String holder : member.holdersToAsk(mNow)) {
                long sequence = member.nextSequence();
                long sentAt = mNow;
                mDelegationMessages++;
                send(
                        this,
                        holder,
                        host -> {
                            RateGroupMember asked = host.mRates.member(group);
                            if (asked == null) {
                                return;
                            }
                            ShareAnswer answer = asked.onShareRequest(mName, sequence, mNow);
                            host.release(group, answer.released(), answer.sequence());
                            if (answer.delegated()) {
                                send(
                                        host,
                                        mName,
                                        self ->
                                                member.onShareReply(
                                                        holder,
                                                        sequence,
                                                        sentAt,
                                                        answer.fraction(),
                                                        answer.tokens(),
                                                        mNow));
                            }
                        });
            }
        }

        void release(String group, List<String> holders, long sequence) {
            for (String holder : holders) {
                send(
                        this,
                        holder,
                        host -> {
                            RateGroupMember member = host.mRates.member(group);
                            if (member != null) {
                                member.onRelease(mName, sequence, mNow);
                            }
                        });
            }
        }

        void stop() {
            mRates.members()
                    .forEach(
                            (group, member) -> {
                                ShareHandover handover = member.stop(mNow);
                                String next = member.successor(this::reaches, mNow);
                                release(group, handover.released(), handover.sequence());
                                if (next != null) {
                                    send(
                                            this,
                                            next,
                                            host ->
                                                    requireMember(host, group)
                                                            .onHandover(
                                                                    mName,
                                                                    handover.sequence(),
                                                                    handover.tokens(),
                                                                    mNow));
                                }
                            });
        }

        void request(CustomerSpec customer) {
            if (mRefusals.remainingNanos(customer.name(), mNow) > 0) {
                mRefused++;
                return;
            }
            List<String> hosts = mRates.hostsToAsk(customer.name(), this::reaches, mNow);
            ask(customer, new AdmissionAttempt(hosts, 0, mNow));
        }

        private void ask(CustomerSpec customer, AdmissionAttempt attempt) {
            String asked = attempt.host();
            if (asked == null) {
                mRefused++;
                return;
            }
            if (asked.equals(mName)) {
                onDecision(customer, attempt, decide(customer));
                return;
            }
            mAdmitMessages++;
            boolean[] done = new boolean[1];
            after(
                    attempt.timeoutNanos(mNow),
                    () -> {
                        if (!done[0]) {
                            done[0] = true;
                            mAvoidance.recordNoAnswer(asked, mNow);
                            attempt.onNoAnswer(mNow);
                            ask(customer, attempt);
                        }
                    });
            send(
                    this,
                    asked,
                    host ->
                            host.answer(
                                    customer,
                                    this,
                                    false,
                                    decision -> {
                                        if (!done[0]) {
                                            done[0] = true;
                                            mAvoidance.recordAnswer(asked);
                                            onDecision(customer, attempt, decision);
                                        }
                                    }));
        }

        private void onDecision(
                CustomerSpec customer, AdmissionAttempt attempt, RateDecision decision) {
            if (decision.admitted()) {
                mAnswered++;
            } else if (attempt.onRefusal(decision.nanosUntilToken(), decision.recovering(), mNow)) {
                after(AdmissionAttempt.RECOVERY_PAUSE_NANOS, () -> ask(customer, attempt));
            } else {
                if (!decision.recovering()) {
                    long spread = (long) (mRandom.nextDouble() * decision.nanosUntilToken());
                    mRefusals.record(customer.name(), decision.nanosUntilToken() + spread, mNow);
                }
                mRefused++;
            }
        }

        private RateDecision decide(CustomerSpec customer) {
            RateGroupMember member = Objects.requireNonNull(mRates.memberOf(customer.name()));
            RateDecision decision = member.admit(customer.name(), mNow);
            if (decision.admitted()) {
                // Counted where the token is taken: an answer that is lost admits no request.
                mAdmitted.add(new Admitted(mNow, customer.name()));
            }
            return decision;
        }

        private void answer(
                CustomerSpec customer, Host asking, boolean relayed, Consumer<RateDecision> reply) {
            RateGroupMember member = mRates.memberOf(customer.name());
            if (member == null) {
                return;
            }
            RateDecision decision = decide(customer);
            String relay = member.relayTarget(this::reaches, mNow);
            if (!decision.admitted() && decision.recovering() && relay != null && !relayed) {
                send(
                        this,
                        relay,
                        host ->
                                host.answer(
                                        customer,
                                        this,
                                        true,
                                        d -> send(this, asking.mName, h -> reply.accept(d))));
                return;
            }
            send(this, asking.mName, host -> reply.accept(decision));
        }
    }

    private final Random mRandom;
    private final Map<String, Host> mHosts = new HashMap<>();
    private final List<CustomerSpec> mCustomers =
            new ArrayList<>(RateWorkload.customers().values());
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() == b.at()
                                    ? Long.compare(a.number(), b.number())
                                    : Long.compare(a.at(), b.at()));
    private final List<Admitted> mAdmitted = new ArrayList<>();
    private BiPredicate<String, String> mIsCut = (from, to) -> false;
    private double mLoss;
    private long mMaxDelay = 8 * MS;
    private long mNumber;
    private long mNow;
    private int mAnswered;
    private int mRefused;
    private int mAdmitMessages;
    private int mDelegationMessages;

    RateFleet(Random random) {
        mRandom = random;
        Map<String, Double> cores = RateWorkload.coresByHost();
        cores.keySet().forEach(name -> mHosts.put(name, new Host(name, cores)));
        mHosts.values().forEach(host -> after(random.nextInt(100) * MS, host::tick));
    }

    private Host host(String name) {
        return Objects.requireNonNull(mHosts.get(name));
    }

    private static RateGroupMember requireMember(Host host, String group) {
        return Objects.requireNonNull(host.mRates.member(group));
    }

    void after(long delay, Runnable action) {
        mEvents.add(new Event(mNow + delay, mNumber++, action));
    }

    private void send(Host from, String to, Consumer<Host> handler) {
        if (from.mLost || mRandom.nextDouble() < mLoss || mIsCut.test(from.mName, to)) {
            return;
        }
        long delay = MS / 2 + (long) (mRandom.nextDouble() * mMaxDelay);
        after(
                delay,
                () -> {
                    Host host = host(to);
                    if (!host.mLost) {
                        host.resume(() -> handler.accept(host));
                    }
                });
    }

    /** Plays the arrivals and everything else up to {@code end}. */
    void play(List<RateWorkload.Arrival> arrivals, long end) {
        for (RateWorkload.Arrival arrival : arrivals) {
            Host host = host(arrival.host());
            mEvents.add(
                    new Event(
                            arrival.at(),
                            mNumber++,
                            () -> {
                                if (!host.mLost && host.mPausedUntil <= mNow) {
                                    host.request(arrival.customer());
                                }
                            }));
        }
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
        }
    }

    void setMessages(double loss, long maxDelayMs) {
        mLoss = loss;
        mMaxDelay = maxDelayMs * MS;
    }

    void cut(BiPredicate<String, String> isCut) {
        mIsCut = isCut;
    }

    void lose(String host) {
        host(host).mLost = true;
    }

    /** Starts a new process of a host that was lost; it remembers nothing. */
    void restart(String name) {
        Host host = host(name);
        host.mLost = false;
        host.mRates = new GroupRates(name, mNow);
        host.tick();
    }

    void pause(String host, long forMs) {
        host(host).mPausedUntil = mNow + forMs * MS;
    }

    void stop(String host) {
        host(host).stop();
    }

    /** Removes a host from the view of all others, after up to 1 s at each, though it is alive. */
    void unregister(String name) {
        for (Host host : mHosts.values()) {
            after(
                    (long) (mRandom.nextDouble() * RateWorkload.SECOND),
                    () -> {
                        Map<String, Double> view = new HashMap<>(host.mView);
                        view.remove(name);
                        host.mView = view;
                    });
        }
    }

    /** Returns the hosts that hold the shares of the only group, in order. */
    List<String> holders() {
        RateGroups groups = new RateGroups(RateWorkload.coresByHost());
        return groups.holdersOf(groups.groups().get(0));
    }

    int refused() {
        return mRefused;
    }

    int answered() {
        return mAnswered;
    }

    int admitMessages() {
        return mAdmitMessages;
    }

    int delegationMessages() {
        return mDelegationMessages;
    }

    /**
     * Returns the largest excess over rate x window + burst in any window of {@code window}
     * nanoseconds, as a part of that bound.
     */
    double largestExcess(long window) {
        double largest = -1;
        Map<String, List<Long>> times = new HashMap<>();
        for (Admitted admitted : mAdmitted) {
            times.computeIfAbsent(admitted.customer(), c -> new ArrayList<>()).add(admitted.at());
        }
        for (CustomerSpec customer : mCustomers) {
            List<Long> list = times.getOrDefault(customer.name(), List.of());
            double bound = customer.ratePerS() * window / RateWorkload.SECOND + customer.burst();
            int first = 0;
            for (int last = 0; last < list.size(); last++) {
                while (list.get(last) - list.get(first) > window) {
                    first++;
                }
                // One admission at the edge of the closed window belongs to no bound.
                largest = Math.max(largest, (last - first) / bound - 1);
            }
        }
        return largest;
    }
}
