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

/** Reads the items of a file by index; keeps the chunks used last in memory. */
final class ItemSource {
    private static final int CACHED_CHUNKS = 4;

    private final JobStore mStore;
    private final FileRecord mFile;
    private final Map<Integer, Future<String[]>> mChunks =
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
        mStore = store;
        mFile = file;
    }

    /** Returns the line of one item as a JSON object. */
    Future<JsonObject> item(int index) {
        int chunk = Collections.binarySearch(mFile.chunkStarts(), index);
        int number = chunk >= 0 ? chunk : -chunk - 2;
        int offset = index - mFile.chunkStarts().get(number);
        return chunk(number).map(lines -> new JsonObject(lines[offset]));
    }

    private Future<String[]> chunk(int number) {
        Future<String[]> cached = mChunks.get(number);
        if (cached != null && !cached.failed()) {
            return cached;
        }
        Future<String[]> loading =
                mStore.value(StoreKeys.fileChunk(mFile.id(), number)).compose(ItemSource::lines);
        mChunks.put(number, loading);
        return loading;
    }

    private static Future<String[]> lines(byte[] value) {
        try {
            String text = new String(Compression.decompress(value), StandardCharsets.UTF_8);
            return Future.succeededFuture(text.split("\n", -1));
        } catch (SesamepinException e) {
            return Future.failedFuture(e);
        }
    }
}
