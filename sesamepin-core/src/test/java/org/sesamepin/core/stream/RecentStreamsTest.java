package org.sesamepin.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.TargetSoftware;

/** Tests which streams a host remembers, and for how long. */
class RecentStreamsTest {
    private static final TargetSoftware V1 = new TargetSoftware("s", "v1");
    private static final long RETENTION = 1_000;

    @Test
    void streamIsKeptForItsTimeAfterItWasLastAdded() {
        RecentStreams streams = new RecentStreams(10);
        streams.add(1, V1, 0, RETENTION);
        assertEquals(new StreamRecord(1, V1), streams.find(1));
        streams.add(1, V1, RETENTION, RETENTION);
        streams.add(2, V1, 2 * RETENTION, RETENTION);
        assertNotNull(streams.find(1));
        streams.add(3, V1, 2 * RETENTION + 1, RETENTION);
        assertNull(streams.find(1));
        assertEquals(2, streams.size());
    }

    @Test
    void oldestStreamsAreDroppedFirstWhenThereAreTooMany() {
        RecentStreams streams = new RecentStreams(3);
        for (int i = 0; i < 5; i++) {
            streams.add(i, V1, 0, RETENTION);
        }
        assertEquals(3, streams.size());
        assertNull(streams.find(1));
        assertEquals(new StreamRecord(2, V1), streams.find(2));
        assertEquals(3, streams.recordsOf(List.of("s")).size());
        assertEquals(List.of(), streams.recordsOf(List.of("other")));
    }
}
