package org.sesamepin.core.batch;

import com.github.luben.zstd.Zstd;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Compression of stored values that hold items and results. */
public final class Compression {
    /** Maximum size of a decompressed value, bytes; guards against corrupt values. */
    private static final int MAX_PLAIN_BYTES = 64 * 1024 * 1024;

    private Compression() {}

    /** Compresses a value. */
    public static byte[] compress(byte[] plain) {
        return Zstd.compress(plain);
    }

    /**
     * Decompresses a value.
     *
     * @throws SesamepinException if the value is corrupt or too large
     */
    public static byte[] decompress(byte[] compressed) throws SesamepinException {
        long size = Zstd.getFrameContentSize(compressed);
        if (size < 0 || size > MAX_PLAIN_BYTES) {
            throw new SesamepinException(Step.STORE_READ, "store", "stored value is corrupt");
        }
        byte[] plain = new byte[(int) size];
        long read = Zstd.decompress(plain, compressed);
        if (Zstd.isError(read) || read != size) {
            throw new SesamepinException(Step.STORE_READ, "store", "stored value is corrupt");
        }
        return plain;
    }
}
