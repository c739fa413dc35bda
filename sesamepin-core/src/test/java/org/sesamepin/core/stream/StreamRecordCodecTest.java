package org.sesamepin.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.TargetSoftware;

/** Tests the bytes of records, also those that another writer left. */
class StreamRecordCodecTest {
    private static List<StreamRecord> records(int count) {
        List<StreamRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            records.add(record(i));
        }
        return records;
    }

    private static StreamRecord record(int number) {
        long key = StreamKey.of("c", "q" + number);
        return number % 4 == 3
                ? StreamRecord.ambiguous(key)
                : new StreamRecord(key, new TargetSoftware("s", "v1." + number % 4));
    }

    @Test
    void decodesWhatWasEncoded() {
        assertEquals(records(0), StreamRecordCodec.decode(StreamRecordCodec.encode(records(0))));
        assertEquals(
                records(500), StreamRecordCodec.decode(StreamRecordCodec.encode(records(500))));
    }

    @Test
    void takesTenBytesForEachRecord() {
        int base = StreamRecordCodec.encode(records(3)).length;
        assertEquals(base + 10 * 997, StreamRecordCodec.encode(records(1_000)).length);
    }

    /** Bytes of another writer must cost an exception, never an error or a false record. */
    @Test
    void rejectsOtherBytes() {
        Random random = new Random(1);
        byte[] whole = StreamRecordCodec.encode(records(20));
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            try {
                List<StreamRecord> decoded = StreamRecordCodec.decode(cut);
                assertEquals(records(20).subList(0, decoded.size()), decoded);
            } catch (IllegalArgumentException e) {
                continue;
            }
        }
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new byte[random.nextInt(60)];
            random.nextBytes(bytes);
            if (bytes.length > 0) {
                bytes[0] = 2;
            }
            assertThrows(IllegalArgumentException.class, () -> StreamRecordCodec.decode(bytes));
        }
    }
}
