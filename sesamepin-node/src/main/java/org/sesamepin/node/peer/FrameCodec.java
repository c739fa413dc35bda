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

/**
 * Encodes and decodes the frames of a peer connection: a 4-byte length, followed by a {@link
 * PeerFrame} in Thrift's compact protocol.
 */
final class FrameCodec {
    /** Maximum size of a frame, bytes; the largest ones carry many items or results at once. */
    static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FrameCodec() {}

    /** Encodes a frame, preceded by its length. */
    static Buffer encode(PeerFrame frame) throws TException {
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(frame);
        return Buffer.buffer(LENGTH_BYTES + bytes.length)
                .appendInt(bytes.length)
                .appendBytes(bytes);
    }

    /**
     * Returns a parser of the received bytes.
     *
     * @param frameConsumer receives each decoded frame
     * @param onInvalidFrame runs when a length is out of range or a frame cannot be decoded
     */
    static RecordParser parser(Consumer<PeerFrame> frameConsumer, Runnable onInvalidFrame) {
        RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
        parser.handler(
                new Handler<Buffer>() {
                    private boolean mInBody;

                    @Override
                    public void handle(Buffer part) {
                        if (mInBody) {
                            mInBody = false;
                            parser.fixedSizeMode(LENGTH_BYTES);
                            decode(part, frameConsumer, onInvalidFrame);
                            return;
                        }
                        int length = part.getInt(0);
                        if (length <= 0 || length > MAX_FRAME_BYTES) {
                            onInvalidFrame.run();
                            return;
                        }
                        mInBody = true;
                        parser.fixedSizeMode(length);
                    }
                });
        return parser;
    }

    private static void decode(
            Buffer body, Consumer<PeerFrame> frameConsumer, Runnable onInvalidFrame) {
        PeerFrame frame = new PeerFrame();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(frame, body.getBytes());
        } catch (TException e) {
            onInvalidFrame.run();
            return;
        }
        frameConsumer.accept(frame);
    }
}
