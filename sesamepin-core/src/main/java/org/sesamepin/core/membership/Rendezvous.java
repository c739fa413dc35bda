package org.sesamepin.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

/**
 * Rendezvous (highest random weight) hashing. Every host computes the same owner for a key from the
 * same set of hosts, and the removal of a host moves only the keys that it owned.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /** Returns the owner of {@code key} among {@code hosts}, or null if there are none. */
    public static @Nullable String owner(String key, Collection<String> hosts) {
        String best = null;
        long bestScore = 0;
        for (String host : hosts) {
            long score = score(key, host);
            boolean higher = best == null || Long.compareUnsigned(score, bestScore) > 0;
            if (higher || (score == bestScore && host.compareTo(best) < 0)) {
                best = host;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Returns how many of {@code hosts} come before {@code host} for {@code key}: 0 for the owner.
     */
    public static int rank(String key, String host, Collection<String> hosts) {
        long ownScore = score(key, host);
        int before = 0;
        for (String other : hosts) {
            int order = Long.compareUnsigned(score(key, other), ownScore);
            if (order > 0 || (order == 0 && other.compareTo(host) < 0)) {
                before++;
            }
        }
        return before;
    }

    /**
     * Returns a score of {@code host} for {@code key}. The host with the highest score owns the
     * key; each owns a part of the keys in proportion to its weight.
     *
     * @param weight size of the host relative to the others, above 0
     */
    public static double weightedScore(String key, String host, double weight) {
        double fraction = ((score(key, host) >>> 11) + 0.5) / (1L << 53);
        return -weight / Math.log(fraction);
    }

    /** Returns the weight of {@code host} for {@code key}, an unsigned number. */
    static long score(String key, String host) {
        return HASH.hashBytes((host + '\n' + key).getBytes(StandardCharsets.UTF_8));
    }
}
