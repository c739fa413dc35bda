package org.sesamepin.core.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * The hosts that share the customers' rates. It is one value in the platform's store, replaced by
 * compare-and-set.
 *
 * @param epoch number of the assignment; grows by one with each change
 * @param members the weight of each member, by host
 * @param previous members of the previous epoch; they may use their shares under that epoch until
 *     they have adopted this one or their leases have expired
 */
public record Assignment(long epoch, TreeMap<String, Integer> members, TreeSet<String> previous) {
    /** Stands for the assignment before the first one was written. */
    public static final Assignment NONE = new Assignment(0, new TreeMap<>(), new TreeSet<>());

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the part of each customer's rate that {@code host} holds, between 0 and 1. */
    public double fraction(String host) {
        Integer weight = members.get(host);
        if (weight == null) {
            return 0;
        }
        int total = members.values().stream().mapToInt(Integer::intValue).sum();
        return (double) weight / total;
    }

    public boolean contains(String host) {
        return members.containsKey(host);
    }

    /** Returns the assignment of the next epoch, with the {@code live} hosts as its members. */
    public Assignment nextEpoch(TreeMap<String, Integer> live) {
        return new Assignment(epoch + 1, new TreeMap<>(live), new TreeSet<>(members.keySet()));
    }

    /** Returns the members other than {@code host}. */
    public List<String> otherMembers(String host) {
        return without(members.keySet(), host);
    }

    /** Returns the members of the previous epoch other than {@code host}. */
    public List<String> otherPreviousMembers(String host) {
        return without(previous, host);
    }

    public Set<String> hosts() {
        return members.keySet();
    }

    /** Returns the JSON form that the platform's store holds. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Parses the JSON form that the platform's store holds. */
    public static Assignment fromJson(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, Assignment.class);
        } catch (JsonProcessingException e) {
            throw new SesamepinException(
                    Step.STORE_READ,
                    "store",
                    "cannot parse the assignment: " + e.getOriginalMessage());
        }
    }

    private static List<String> without(Collection<String> hosts, String host) {
        return hosts.stream().filter(h -> !h.equals(host)).toList();
    }
}
