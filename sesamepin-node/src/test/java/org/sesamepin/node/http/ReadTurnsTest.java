package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.Test;

/** The order in which connections of one event loop are read. */
class ReadTurnsTest {
    /** Guards against a large body of few parts that waits for those of very many. */
    @Test
    void turnsGoToTheLeastWorkFirst() throws Exception {
        EventLoop loop = new DefaultEventLoop();
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch done = new CountDownLatch(4);
        LongAdder given = new LongAdder();
        ReadTurns turns = new ReadTurns(loop, given);
        loop.execute(
                () -> {
                    for (String waiter : List.of("5 a", "1 b", "3 c", "1 d")) {
                        long work = Long.parseLong(waiter.substring(0, 1));
                        turns.await(
                                work,
                                () -> {
                                    order.add(waiter);
                                    done.countDown();
                                });
                    }
                });
        assertTrue(done.await(1, TimeUnit.MINUTES));
        loop.shutdownGracefully();
        assertEquals(List.of("1 b", "1 d", "3 c", "5 a"), order);
        assertEquals(order.size(), given.intValue());
    }
}
