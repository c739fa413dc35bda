package org.sesamepin.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.CustomerSpec;

/**
 * One host's part in all rate groups of a large fleet. All times are readings of the host's
 * monotonic clock in nanoseconds. Not thread-safe.
 */
public final class GroupRates {
    private final String mSelf;
    private final long mFirstSequence;
    private final Map<String, RateGroupMember> mMembersByGroup = new HashMap<>();
    private final Set<String> mKnownCustomers = new HashSet<>();
    private Map<String, Double> mCoresByHost = Map.of();
    private RateGroups mGroups = new RateGroups(Map.of());

    /**
     * Creates a host that is in no group yet.
     *
     * @param firstSequence number from which this process numbers its messages; above those of a
     *     former process of the same host
     */
    public GroupRates(String self, long firstSequence) {
        mSelf = self;
        mFirstSequence = firstSequence;
    }

    /** Records a customer of whose burst this process has used its share in another way. */
    public void recordOtherwiseServed(String customer) {
        mKnownCustomers.add(customer);
    }

    /**
     * Takes over the registered hosts and the customers.
     *
     * @param coresByHost processor capacity of each registered host, in cores
     * @param customers the customers whose rate is limited
     */
    public void update(
            Map<String, Double> coresByHost, Collection<CustomerSpec> customers, long now) {
        if (!coresByHost.equals(mCoresByHost)) {
            mCoresByHost = Map.copyOf(coresByHost);
            mGroups = new RateGroups(coresByHost);
            updateMembers(now);
        }
        Map<String, Set<String>> namesByGroup = new HashMap<>();
        for (CustomerSpec customer : customers) {
            String group = mGroups.groupOf(customer.name());
            RateGroupMember member = mMembersByGroup.get(group);
            if (member != null) {
                namesByGroup.computeIfAbsent(group, g -> new HashSet<>()).add(customer.name());
                boolean isNew = mKnownCustomers.add(customer.name());
                member.putCustomer(customer, isNew, now);
            }
        }
        mMembersByGroup.forEach(
                (group, member) ->
                        member.retainCustomers(namesByGroup.getOrDefault(group, Set.of())));
    }

    private void updateMembers(long now) {
        boolean isRegrouped = !mMembersByGroup.keySet().containsAll(mGroups.groups());
        boolean isStopping = false;
        long lentUntil = now;
        if (isRegrouped) {
            for (RateGroupMember member : mMembersByGroup.values()) {
                long until = member.lentUntil(now);
                lentUntil = until - lentUntil > 0 ? until : lentUntil;
            }
            isStopping = mMembersByGroup.values().stream().anyMatch(RateGroupMember::isStopping);
            mMembersByGroup.clear();
        }
        for (String group : mGroups.groups()) {
            RateGroupMember member = mMembersByGroup.get(group);
            if (member == null) {
                member = new RateGroupMember(mSelf, mFirstSequence, now);
                mMembersByGroup.put(group, member);
            }
            member.setHolders(mGroups.holdersOf(group), now);
            member.blockOwnShare(lentUntil, now);
            if (isStopping) {
                member.stop(now);
            }
        }
    }

    /** Returns this host's part in all groups, by name. */
    public Map<String, RateGroupMember> members() {
        return mMembersByGroup;
    }

    /** Returns this host's part in {@code group}, or null if it knows no such group. */
    public @Nullable RateGroupMember member(String group) {
        return mMembersByGroup.get(group);
    }

    /** Returns this host's part in the group of {@code customer}, or null before the first one. */
    public @Nullable RateGroupMember memberOf(String customer) {
        return mMembersByGroup.get(mGroups.groupOf(customer));
    }

    /**
     * Returns the hosts to ask to admit requests of {@code customer}, in order: this host when it
     * leads the group, or the host that uses this host's share, then the reachable holders. This
     * host is left out when it is about to stop.
     */
    public List<String> hostsToAsk(String customer, Predicate<String> reachable, long now) {
        String group = mGroups.groupOf(customer);
        RateGroupMember member = mMembersByGroup.get(group);
        boolean asksSelf = member != null && !member.isStopping();
        String leader = member == null ? null : member.leader(now);
        return Stream.concat(Stream.ofNullable(leader), mGroups.holdersOf(group).stream())
                .filter(host -> host.equals(mSelf) ? asksSelf : reachable.test(host))
                .distinct()
                .toList();
    }
}
