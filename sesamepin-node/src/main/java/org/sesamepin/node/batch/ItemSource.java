package org.sesamepin.node.batch;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sesamepin.core.batch.Compression;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.node.fleet.StoreKeys;

/** Reads items of an input file by index; caches the most recently used chunks in memory. */
final class ItemSource {
    private static final int CACHED_CHUNKS = 4;

    private final JobStore mJobStore;
    private final FileRecord mFile;
    private final Map<Integer, Future<String[]>> mCachedChunks =
            Collections.synchronizedMap(
                    new LinkedHashMap<>(CACHED_CHUNKS, 0.75f, true) {
                        private static final long serialVersionUID = 1L;

                        @Override
                        protected boolean removeEldestEntry(
                                Map.Entry<Integer, Future<String[]>> eldest) {
                            return size() > CACHED_CHUNKS;
                        }
                    });

    ItemSource(JobStore store, FileRecord file) {
        mJobStore = store;
        mFile = file;
    }

    /** Returns the input line of an item as a JSON object. */
    Future<JsonObject> readItem(int index) {
        int position = Collections.binarySearch(mFile.chunkStarts(), index);
        int chunkNumber = position >= 0 ? position : -position - 2;
        int offset = index - mFile.chunkStarts().get(chunkNumber);
        return loadChunk(chunkNumber).map(lines -> new JsonObject(lines[offset]));
    }

    private Future<String[]> loadChunk(int chunkNumber) {
        Future<String[]> cached = mCachedChunks.get(chunkNumber);
        if (cached != null && !cached.failed()) {
            return cached;
        }
        Future<String[]> loading =
                mJobStore
                        .readValue(StoreKeys.fileChunk(mFile.id(), chunkNumber))
                        .compose(ItemSource::decodeLines);
        mCachedChunks.put(chunkNumber, loading);
        return loading;
    }

    private static Future<String[]> decodeLines(byte[] value) {
        try {
            String text = new String(Compression.decompress(value), StandardCharsets.UTF_8);
            return Future.succeededFuture(text.split("\n", -1));
        } catch (SesamepinException e) {
            return Future.failedFuture(e);
        }
    }
}
