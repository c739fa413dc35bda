package org.sesamepin.core.stream;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Encodes records as bytes: a list of the software, then for each record the digest and the number
 * of its software, -1 for none; 10 bytes a record.
 */
public final class StreamRecordCodec {
    private static final byte FORMAT = 1;
    private static final int BYTES_PER_RECORD = Long.BYTES + Short.BYTES;
    private static final short AMBIGUOUS = -1;

    private StreamRecordCodec() {}

    /** Returns the bytes of {@code records}, which name at most some thousand versions. */
    public static byte[] encode(Collection<StreamRecord> records) {
        Map<TargetSoftware, Short> numbers = new LinkedHashMap<>();
        for (StreamRecord record : records) {
            TargetSoftware software = record.software();
            if (software != null) {
                numbers.putIfAbsent(software, (short) numbers.size());
            }
        }
        List<byte[]> names = new ArrayList<>();
        for (TargetSoftware software : numbers.keySet()) {
            names.add(software.service().getBytes(StandardCharsets.UTF_8));
            names.add(software.version().getBytes(StandardCharsets.UTF_8));
        }
        int nameBytes = names.stream().mapToInt(name -> Short.BYTES + name.length).sum();
        int size = 1 + Short.BYTES + nameBytes + records.size() * BYTES_PER_RECORD;
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(FORMAT).putShort((short) numbers.size());
        names.forEach(name -> out.putShort((short) name.length).put(name));
        records.forEach(
                record -> out.putLong(record.key()).putShort(numberOf(record.software(), numbers)));
        return out.array();
    }

    private static short numberOf(
            @Nullable TargetSoftware software, Map<TargetSoftware, Short> numbers) {
        return software == null ? AMBIGUOUS : numbers.getOrDefault(software, AMBIGUOUS);
    }

    /**
     * Returns the records that {@code bytes} hold.
     *
     * @throws IllegalArgumentException if another writer left something else there
     */
    public static List<StreamRecord> decode(byte[] bytes) {
        try {
            return decode(ByteBuffer.wrap(bytes));
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("incomplete records", e);
        }
    }

    private static List<StreamRecord> decode(ByteBuffer in) {
        if (in.get() != FORMAT) {
            throw new IllegalArgumentException("unknown format of records");
        }
        List<TargetSoftware> software = new ArrayList<>();
        int count = in.getShort();
        for (int i = 0; i < count; i++) {
            String service = decodeName(in);
            software.add(new TargetSoftware(service, decodeName(in)));
        }
        List<StreamRecord> records = new ArrayList<>();
        while (in.hasRemaining()) {
            long key = in.getLong();
            short number = in.getShort();
            records.add(
                    number == AMBIGUOUS
                            ? StreamRecord.ambiguous(key)
                            : new StreamRecord(key, software.get(number)));
        }
        return records;
    }

    private static String decodeName(ByteBuffer in) {
        int length = in.getShort();
        if (length < 0 || length > in.remaining()) {
            throw new IllegalArgumentException("name of " + length + " bytes");
        }
        byte[] name = new byte[length];
        in.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }
}
