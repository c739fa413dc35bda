package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.membership.Rendezvous;

/**
 * Guards against claims of one job by all hosts of a fleet at once, and against jobs that nobody
 * claims since the first hosts cannot.
 */
class ClaimDelayTest {
    private static final List<String> HOSTS =
            IntStream.range(0, 67).mapToObj(i -> "host-" + i).toList();

    private static long hostsThatMayClaimAfter(long ms) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(ms);
        return HOSTS.stream()
                .filter(host -> ClaimDelay.nanos(Rendezvous.rank("job", host, HOSTS)) <= nanos)
                .count();
    }

    @Test
    void hostsTakeTurns() {
        assertEquals(1, hostsThatMayClaimAfter(0));
        assertEquals(1, hostsThatMayClaimAfter(2_999));
        assertEquals(2, hostsThatMayClaimAfter(3_000));
        assertEquals(3, hostsThatMayClaimAfter(4_000));
    }

    @Test
    void everyHostMayClaimInTheEnd() {
        assertEquals(HOSTS.size(), hostsThatMayClaimAfter(10_000));
    }

    @Test
    void firstInTurnIsTheOwnerByRendezvousHashing() {
        String owner = Rendezvous.owner("job", HOSTS);
        assertTrue(owner != null && Rendezvous.rank("job", owner, HOSTS) == 0);
    }
}
