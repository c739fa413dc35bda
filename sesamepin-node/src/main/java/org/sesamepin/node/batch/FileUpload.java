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
import org.sesamepin.node.http.BoundedJson;
import org.sesamepin.node.http.Contexts;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.online.CallerIdentity;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.StoreTransaction;

/**
 * Receives one input file as a stream: validates each line and writes the lines to the store in
 * compressed chunks. Pauses the request while a chunk is being written, so that memory stays
 * bounded. Confined to one event loop.
 */
final class FileUpload {
    private static final int CHUNK_BYTES = 700_000;
    private static final int MAX_LINE_BYTES = 600_000;

    /** Memory of an item's id in the set besides its characters, bytes. */
    private static final long CUSTOM_ID_BYTES = 100;

    private final PlatformStore mStore;
    private final HttpServerRequest mRequest;
    private final CallerIdentity mCaller;
    private final Context mContext;
    private final int mMaxItems;
    private final String mFileId = "file-" + UUID.randomUUID();
    private final MessageDigest mDigest = KeyDigest.sha256();
    private final Set<String> mCustomIds = new HashSet<>();
    private final List<Integer> mChunkStarts = new ArrayList<>();
    private Buffer mCurrentLine = Buffer.buffer();
    private Buffer mCurrentChunk = Buffer.buffer();
    private Future<Void> mChunkWrites = Future.succeededFuture();
    private int mItemCount;
    private int mLineCount;
    private int mItemsInWrittenChunks;
    private long mByteCount;
    private long mCustomIdBytes;
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

    /** Processes the next part of the request body; ignores it after a line was rejected. */
    void accept(Buffer part) {
        if (mProblem != null) {
            return;
        }
        mByteCount += part.length();
        mDigest.update(part.getBytes());
        int lineStart = 0;
        for (int i = 0; i < part.length(); i++) {
            if (part.getByte(i) == '\n') {
                mCurrentLine.appendBuffer(part, lineStart, i - lineStart);
                processLine();
                lineStart = i + 1;
            }
        }
        mCurrentLine.appendBuffer(part, lineStart, part.length() - lineStart);
        if (mCurrentLine.length() > MAX_LINE_BYTES) {
            rejectLine("longer than " + MAX_LINE_BYTES + " bytes");
        }
        if (!mChunkWrites.isComplete()) {
            pauseUntilWritten();
        }
    }

    /** Returns the memory that the upload takes, bytes. */
    long heldBytes() {
        return 2L * (mCurrentLine.length() + mCurrentChunk.length()) + mCustomIdBytes;
    }

    private void processLine() {
        mLineCount++;
        Buffer line = mCurrentLine;
        mCurrentLine = Buffer.buffer();
        String lineText = line.toString(StandardCharsets.UTF_8).trim();
        if (mProblem != null || lineText.isEmpty()) {
            return;
        }
        JsonObject item;
        try {
            item = BoundedJson.parseObject(lineText);
        } catch (DecodeException e) {
            rejectLine("not a JSON object");
            return;
        }
        String problem = findProblem(item, lineText);
        if (problem != null) {
            rejectLine(problem);
            return;
        }
        if (mCurrentChunk.length() + lineText.length() > CHUNK_BYTES) {
            writeChunk();
        }
        mItemCount++;
        mCurrentChunk.appendString(lineText).appendByte((byte) '\n');
    }

    private @Nullable String findProblem(JsonObject item, String lineText) {
        Object customId = item.getValue("custom_id");
        Object url = item.getValue("url");
        if (!(customId instanceof String id) || id.isEmpty()) {
            return "custom_id is missing";
        }
        if (!mCustomIds.add(id)) {
            return "custom_id '" + id + "' occurs twice";
        }
        mCustomIdBytes += CUSTOM_ID_BYTES + 2L * id.length();
        if (!"POST".equals(item.getValue("method"))) {
            return "method must be POST";
        }
        if (!"/v1/chat/completions".equals(url) && !"/v1/completions".equals(url)) {
            return "url must be /v1/chat/completions or /v1/completions";
        }
        if (!(item.getValue("body") instanceof JsonObject body)
                || !(body.getValue("model") instanceof String model)) {
            return "body.model is missing";
        }
        if (!mCaller.bundle().models().containsKey(model)) {
            return "unknown model '" + model + "'";
        }
        boolean isFirstItem = mItemCount == 0;
        if (!isFirstItem && (!model.equals(mModel) || !url.equals(mEndpoint))) {
            return "all lines must have the same model and the same url";
        }
        if (mItemCount >= mMaxItems) {
            return "a job may have at most " + mMaxItems + " items";
        }
        if (!mCaller.secret().isEmpty() && lineText.contains(mCaller.secret())) {
            return "the key may only be sent in the Authorization header";
        }
        mModel = model;
        mEndpoint = url.toString();
        return null;
    }

    private void rejectLine(String problem) {
        String detail = "line " + mLineCount + ": " + problem;
        mProblem = new Problem(ProblemType.MALFORMED_REQUEST, Step.READ_REQUEST, detail);
        mCurrentChunk = Buffer.buffer();
        mCurrentLine = Buffer.buffer();
    }

    private void writeChunk() {
        if (mItemCount == mItemsInWrittenChunks) {
            return;
        }
        byte[] value = Compression.compress(mCurrentChunk.getBytes());
        int chunkNumber = mChunkStarts.size();
        mChunkStarts.add(mItemsInWrittenChunks);
        mItemsInWrittenChunks = mItemCount;
        mCurrentChunk = Buffer.buffer();
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifAbsent(StoreKeys.fileChunk(mFileId, chunkNumber))
                        .put(StoreKeys.fileChunk(mFileId, chunkNumber), value, 0);
        mChunkWrites = mChunkWrites.compose(v -> mStore.commit(transaction)).mapEmpty();
    }

    /** Pauses the request until all chunks so far are written. */
    private void pauseUntilWritten() {
        mRequest.pause();
        Contexts.completeOn(mContext, mChunkWrites).onComplete(done -> mRequest.resume());
    }

    /**
     * Writes the last chunk and the file's record. Fails with the problem of the first rejected
     * line, or if the file has no items.
     */
    Future<FileRecord> finish() {
        if (mCurrentLine.length() > 0) {
            processLine();
        }
        if (mProblem == null && mItemCount == 0) {
            mProblem =
                    new Problem(
                            ProblemType.MALFORMED_REQUEST,
                            Step.READ_REQUEST,
                            "the file has no items");
        }
        Problem problem = mProblem;
        if (problem != null) {
            return Future.failedFuture(problem);
        }
        writeChunk();
        FileRecord record =
                new FileRecord(
                        mFileId,
                        mCaller.customerName(),
                        mByteCount,
                        mItemCount,
                        List.copyOf(mChunkStarts),
                        mModel,
                        mEndpoint,
                        HexFormat.of().formatHex(mDigest.digest()),
                        System.currentTimeMillis());
        StoreTransaction transaction =
                new StoreTransaction()
                        .ifAbsent(StoreKeys.fileRecord(mFileId))
                        .put(StoreKeys.fileRecord(mFileId), record.toJson());
        return mChunkWrites.compose(v -> mStore.commit(transaction)).map(record);
    }
}
