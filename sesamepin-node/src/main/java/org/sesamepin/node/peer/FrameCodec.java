package org.sesamepin.node.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sesamepin.node.peer.generated.PeerFrame;

/** Frames on a peer connection: a 4-byte length, then a PeerFrame in compact protocol. */
final class FrameCodec {
    /** Largest frame: a batch of items or results, bytes. */
    static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    /** Encodes one frame with its length. */
    static Buffer encode(PeerFrame frame) throws TException {
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(frame);
        return Buffer.buffer(LENGTH_BYTES + bytes.length)
                .appendInt(bytes.length)
                .appendBytes(bytes);
    }

    /**
     * Returns a parser that passes on each frame; {@code broken} runs when the bytes make no frame.
     */
    static RecordParser parser(Consumer<PeerFrame> frames, Runnable broken) {
        RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
        parser.handler(
                new Handler<Buffer>() {
                    private boolean mInBody;

                    @Override
                    public void handle(Buffer part) {
                        if (mInBody) {
                            mInBody = false;
                            parser.fixedSizeMode(LENGTH_BYTES);
                            decode(part, frames, broken);
                            return;
                        }
                        int length = part.getInt(0);
                        if (length <= 0 || length > MAX_FRAME_BYTES) {
                            broken.run();
                            return;
                        }
                        mInBody = true;
                        parser.fixedSizeMode(length);
                    }
                });
        return parser;
    }

    private static void decode(Buffer body, Consumer<PeerFrame> frames, Runnable broken) {
        PeerFrame frame = new PeerFrame();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(frame, body.getBytes());
        } catch (TException e) {
            broken.run();
            return;
        }
        frames.accept(frame);
    }
}
