package org.sesamepin.node.batch;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.Compression;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.key.KeyDigest;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.http.Contexts;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.online.CallerIdentity;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Takes up one input file while it arrives: checks each line, and writes chunks to the store with
 * the caller held back meanwhile, so that memory stays bounded. Used on one event loop.
 */
final class FileUpload {
    private static final int CHUNK_BYTES = 700_000;
    private static final int MAX_LINE_BYTES = 600_000;

    private final PlatformStore mStore;
    private final HttpServerRequest mRequest;
    private final CallerIdentity mCaller;
    private final Context mContext;
    private final int mMaxItems;
    private final String mId = "file-" + UUID.randomUUID();
    private final MessageDigest mDigest = KeyDigest.sha256();
    private final Set<String> mCustomIds = new HashSet<>();
    private final List<Integer> mChunkStarts = new ArrayList<>();
    private Buffer mLine = Buffer.buffer();
    private Buffer mChunk = Buffer.buffer();
    private Future<Void> mWritten = Future.succeededFuture();
    private int mItems;
    private int mLines;
    private int mItemsWritten;
    private long mBytes;
    private String mModel = "";
    private String mEndpoint = "";
    private @Nullable Problem mProblem;

    FileUpload(
            Context context,
            PlatformStore store,
            HttpServerRequest request,
            CallerIdentity caller,
            int maxItems) {
        mContext = context;
        mStore = store;
        mRequest = request;
        mCaller = caller;
        mMaxItems = maxItems;
    }

    /** Takes the next bytes. */
    void accept(Buffer part) {
        if (mProblem != null) {
            return;
        }
        mBytes += part.length();
        mDigest.update(part.getBytes());
        int from = 0;
        for (int i = 0; i < part.length(); i++) {
            if (part.getByte(i) == '\n') {
                mLine.appendBuffer(part, from, i - from);
                line();
                from = i + 1;
            }
        }
        mLine.appendBuffer(part, from, part.length() - from);
        if (mLine.length() > MAX_LINE_BYTES) {
            refuse("longer than " + MAX_LINE_BYTES + " bytes");
        }
        if (!mWritten.isComplete()) {
            holdBack();
        }
    }

    private void line() {
        mLines++;
        Buffer line = mLine;
        mLine = Buffer.buffer();
        String text = line.toString(StandardCharsets.UTF_8).trim();
        if (mProblem != null || text.isEmpty()) {
            return;
        }
        JsonObject item;
        try {
            item = new JsonObject(text);
        } catch (DecodeException e) {
            refuse("not a JSON object");
            return;
        }
        String fault = fault(item, text);
        if (fault != null) {
            refuse(fault);
            return;
        }
        if (mChunk.length() + text.length() > CHUNK_BYTES) {
            writeChunk();
        }
        mItems++;
        mChunk.appendString(text).appendByte((byte) '\n');
    }

    private @Nullable String fault(JsonObject item, String text) {
        Object customId = item.getValue("custom_id");
        Object url = item.getValue("url");
        if (!(customId instanceof String id) || id.isEmpty()) {
            return "custom_id is missing";
        }
        if (!mCustomIds.add(id)) {
            return "custom_id '" + id + "' stands twice";
        }
        if (!"POST".equals(item.getValue("method"))) {
            return "method has to be POST";
        }
        if (!"/v1/chat/completions".equals(url) && !"/v1/completions".equals(url)) {
            return "url has to be /v1/chat/completions or /v1/completions";
        }
        if (!(item.getValue("body") instanceof JsonObject body)
                || !(body.getValue("model") instanceof String model)) {
            return "body.model is missing";
        }
        if (!mCaller.bundle().models().containsKey(model)) {
            return "unknown model '" + model + "'";
        }
        boolean first = mItems == 0;
        if (!first && (!model.equals(mModel) || !url.equals(mEndpoint))) {
            return "all lines have to name one model and one url";
        }
        if (mItems >= mMaxItems) {
            return "a job may have at most " + mMaxItems + " items";
        }
        if (!mCaller.secret().isEmpty() && text.contains(mCaller.secret())) {
            return "the key may stand in the Authorization header only";
        }
        mModel = model;
        mEndpoint = url.toString();
        return null;
    }

    private void refuse(String fault) {
        String detail = "line " + mLines + ": " + fault;
        mProblem = new Problem(ProblemType.MALFORMED_REQUEST, Step.READ_REQUEST, detail);
        mChunk = Buffer.buffer();
        mLine = Buffer.buffer();
    }

    private void writeChunk() {
        if (mItems == mItemsWritten) {
            return;
        }
        byte[] value = Compression.compress(mChunk.getBytes());
        int number = mChunkStarts.size();
        mChunkStarts.add(mItemsWritten);
        mItemsWritten = mItems;
        mChunk = Buffer.buffer();
        StoreTransaction write =
                new StoreTransaction()
                        .ifAbsent(StoreKeys.fileChunk(mId, number))
                        .put(StoreKeys.fileChunk(mId, number), value, 0);
        mWritten = mWritten.compose(v -> mStore.commit(write)).mapEmpty();
    }

    /** Holds the caller back until the chunks so far are written. */
    private void holdBack() {
        mRequest.pause();
        Contexts.on(mContext, mWritten).onComplete(done -> mRequest.resume());
    }

    /** Writes the rest and the file's record; fails with the first fault of a line. */
    Future<FileRecord> finish() {
        if (mLine.length() > 0) {
            line();
        }
        if (mProblem == null && mItems == 0) {
            mProblem = new Problem(ProblemType.MALFORMED_REQUEST, Step.READ_REQUEST, "no items");
        }
        Problem problem = mProblem;
        if (problem != null) {
            return Future.failedFuture(problem);
        }
        writeChunk();
        FileRecord record =
                new FileRecord(
                        mId,
                        mCaller.customerName(),
                        mBytes,
                        mItems,
                        List.copyOf(mChunkStarts),
                        mModel,
                        mEndpoint,
                        HexFormat.of().formatHex(mDigest.digest()),
                        System.currentTimeMillis());
        StoreTransaction write =
                new StoreTransaction()
                        .ifAbsent(StoreKeys.fileRecord(mId))
                        .put(StoreKeys.fileRecord(mId), record.toJson());
        return mWritten.compose(v -> mStore.commit(write)).map(record);
    }
}
