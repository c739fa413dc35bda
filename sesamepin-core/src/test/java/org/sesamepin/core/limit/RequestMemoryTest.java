package org.sesamepin.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a process that keeps more of its callers' requests than its memory allows. */
class RequestMemoryTest {
    private static final long MIB = 1 << 20;
    private static final long MAX_BYTES = 32 * MIB;
    private static final int MAX_CONNECTIONS = 100;
    private static final long SMALL = 1_000;

    private long mNow;
    private final List<String> mEvicted = new ArrayList<>();
    private final RequestMemory mMemory = new RequestMemory(() -> mNow, MAX_BYTES, MAX_CONNECTIONS);

    private RequestMemory.Connection open(String name, String address) {
        return mMemory.open(address, () -> mEvicted.add(name));
    }

    private RequestMemory.Connection open(String name) {
        return open(name, "10.0.0.1");
    }

    private void passSeconds(long seconds) {
        mNow += TimeUnit.SECONDS.toNanos(seconds);
    }

    /** Guards against a share that a single caller meets while nothing else goes on. */
    @Test
    void singleRequestMayTakeNearlyAll() {
        RequestMemory.Connection single = open("single");
        single.recordRead(MAX_BYTES / 8 * 7, MAX_BYTES);
        single.endRead();
        assertEquals(List.of(), mEvicted);
        assertTrue(single.hasUnanswered());
        single.endResponse();
        assertEquals(0, mMemory.usedBytes());
    }

    /** Guards against eviction of callers that send, while others have stopped. */
    @Test
    void slowestIsEvictedFirst() {
        RequestMemory.Connection stopped = open("stopped");
        stopped.recordRead(14 * MIB, 14 * MIB);
        passSeconds(3);
        RequestMemory.Connection sending = open("sending");
        sending.recordRead(14 * MIB, 14 * MIB);
        sending.recordRead(15 * MIB, MIB);
        assertEquals(List.of("stopped"), mEvicted);
        stopped.recordRead(20 * MIB, 6 * MIB);
        assertEquals(15 * MIB, mMemory.usedBytes(), "an evicted connection counts no more");
    }

    /** Guards against eviction of an older caller for a newer one that is no faster. */
    @Test
    void newestOfEquallySlowOnesIsEvicted() {
        for (int i = 0; i < 5; i++) {
            open("c" + i).recordRead(6 * MIB, 6 * MIB);
        }
        assertEquals(List.of("c4"), mEvicted);
    }

    /** Guards against the loss of calls that have arrived whole. */
    @Test
    void acceptedCallsKeepTheirMemory() {
        RequestMemory.Connection accepted = open("accepted");
        accepted.recordRead(27 * MIB, 27 * MIB);
        accepted.endRead();
        passSeconds(60);
        open("large").recordRead(2 * MIB, 2 * MIB);
        assertEquals(List.of("large"), mEvicted);
        open("small").recordRead(SMALL, SMALL);
        assertEquals(List.of("large"), mEvicted, "a part is kept for small requests");
        assertTrue(mMemory.usedBytes() <= MAX_BYTES);
    }

    /** Guards against an accepted call that loses its connection, or counts no more. */
    @Test
    void evictionOfTheNextRequestKeepsTheAcceptedCall() {
        RequestMemory.Connection caller = open("caller");
        caller.recordRead(10 * MIB, 10 * MIB);
        caller.endRead();
        caller.recordRead(20 * MIB, 20 * MIB);
        caller.recordRead(30 * MIB, 10 * MIB);
        assertEquals(List.of("caller"), mEvicted);
        assertEquals(10 * MIB, mMemory.usedBytes());
        assertEquals(1, mMemory.connections());
        caller.recordRead(20 * MIB, MIB);
        assertEquals(10 * MIB, mMemory.usedBytes(), "nothing more is read");
        caller.endResponse();
        caller.close();
        assertEquals(0, mMemory.usedBytes());
        assertEquals(0, mMemory.connections());
    }

    /** Guards against a crowd at one address that takes the memory from all others. */
    @Test
    void addressesShareTheMemory() {
        RequestMemory.Connection other = open("other", "10.0.0.2");
        other.recordRead(MIB, MIB);
        passSeconds(5);
        for (int i = 0; i < 60; i++) {
            open("crowd", "10.0.0.1").recordRead(MIB, MIB);
        }
        assertFalse(mEvicted.contains("other"), "although it is slower");
    }

    /** Guards against small requests that are refused for the sake of large ones. */
    @Test
    void smallRequestsStayBesideLargeOnes() {
        for (int i = 0; i < 20; i++) {
            open("small").recordRead(SMALL, SMALL);
        }
        passSeconds(5);
        for (int i = 0; i < 60; i++) {
            open("large").recordRead(MIB, MIB);
        }
        assertFalse(mEvicted.contains("small"));
    }

    /** Guards against memory that stays counted after a response that came before the body. */
    @Test
    void responseBeforeTheEndOfTheBodyEndsTheRequestWithIt() {
        RequestMemory.Connection early = open("early");
        early.recordRead(SMALL, SMALL);
        early.endResponse();
        assertTrue(early.isAnsweredEarly());
        early.recordRead(2 * SMALL, SMALL);
        early.endRead();
        assertEquals(0, mMemory.usedBytes());
        early.recordRead(SMALL, SMALL);
        early.endRead();
        assertTrue(early.hasUnanswered());
    }

    /** Guards against idle connections that use up the descriptors. */
    @Test
    void idleConnectionsGiveWayToNewOnes() {
        RequestMemory.Connection running = open("running");
        running.recordRead(SMALL, SMALL);
        running.endRead();
        passSeconds(1);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            open("idle" + i);
            passSeconds(1);
        }
        assertEquals(List.of("idle0"), mEvicted);
        assertEquals(MAX_CONNECTIONS, mMemory.connections());
    }

    /** Guards against calls that are cut off for new connections. */
    @Test
    void newConnectionIsRefusedWhenAllOthersRun() {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            RequestMemory.Connection running = open("running");
            running.recordRead(SMALL, SMALL);
            running.endRead();
        }
        open("new");
        assertEquals(List.of("new"), mEvicted);
    }

    /** Guards against sums that drift or exceed the limit, whatever the order of events. */
    @Test
    void randomTrafficStaysWithinTheLimit() {
        for (int seed = 0; seed < 50; seed++) {
            playRandomTraffic(new Random(seed), seed);
        }
    }

    private void playRandomTraffic(Random random, int seed) {
        RequestMemory memory = new RequestMemory(() -> mNow, MAX_BYTES, MAX_CONNECTIONS);
        List<RequestMemory.Connection> connections = new ArrayList<>();
        long[] held = new long[1_000];
        for (int step = 0; step < 3_000; step++) {
            mNow += TimeUnit.MILLISECONDS.toNanos(random.nextInt(100));
            if (connections.size() < held.length && random.nextInt(4) == 0) {
                connections.add(memory.open("a" + random.nextInt(3), () -> {}));
            }
            if (connections.isEmpty()) {
                continue;
            }
            int index = random.nextInt(connections.size());
            RequestMemory.Connection connection = connections.get(index);
            switch (random.nextInt(8)) {
                case 0 -> {
                    connection.endRead();
                    held[index] = 0;
                }
                case 1, 2 -> connection.endResponse();
                case 3 -> connection.close();
                default -> {
                    int bytes = random.nextInt((int) MIB);
                    held[index] += bytes;
                    connection.recordRead(held[index], bytes);
                    assertTrue(memory.usedBytes() <= MAX_BYTES, "seed " + seed);
                }
            }
            assertTrue(memory.connections() <= MAX_CONNECTIONS, "seed " + seed);
        }
        connections.forEach(RequestMemory.Connection::close);
        assertEquals(0, memory.usedBytes(), "seed " + seed);
    }
}
