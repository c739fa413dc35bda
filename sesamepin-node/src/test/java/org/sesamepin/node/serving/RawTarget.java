package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/** A target whose script writes the bytes of its responses, so that it can break the protocol. */
public final class RawTarget {
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern LENGTH =
            Pattern.compile("content-length: (\\d+)", Pattern.CASE_INSENSITIVE);

    /** Answers a request. */
    public interface Script {
        /**
         * Writes the response to a request.
         *
         * @param head head of the request
         * @param numberOnConnection number of the request on its connection, from 1
         */
        void answer(NetSocket socket, String head, int numberOnConnection);
    }

    private final Script mScript;
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final TargetInstance mInstance;

    /** Starts a target of the service {@code s} on a free port. */
    public RawTarget(Vertx vertx, String id, Script script) throws Exception {
        mScript = script;
        NetServer server = vertx.createNetServer().connectHandler(this::serve);
        int port =
                server.listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS)
                        .actualPort();
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        mInstance = new TargetInstance(id, 1, "s", "v1", address, "a", 8, TargetState.READY, 0);
    }

    private void serve(NetSocket socket) {
        Buffer received = Buffer.buffer();
        int[] requests = new int[1];
        int[] consumed = new int[1];
        socket.handler(
                part -> {
                    received.appendBuffer(part);
                    int end = endOfRequest(received, consumed[0]);
                    while (end >= 0) {
                        String head = received.getString(consumed[0], end);
                        consumed[0] = end;
                        requests[0]++;
                        mRequests.add(head);
                        mScript.answer(socket, head, requests[0]);
                        end = endOfRequest(received, consumed[0]);
                    }
                });
    }

    private static int endOfRequest(Buffer received, int start) {
        String text = received.getString(start, received.length());
        int headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) {
            return -1;
        }
        Matcher length = LENGTH.matcher(text.substring(0, headEnd));
        int bodyLength = length.find() ? Integer.parseInt(length.group(1)) : 0;
        int end = headEnd + HEAD_END.length() + bodyLength;
        return text.length() < end ? -1 : start + end;
    }

    /** Returns the registration of the target. */
    public TargetInstance instance() {
        return mInstance;
    }

    /** Returns the requests that arrived, each with its head. */
    public List<String> requests() {
        return mRequests;
    }

    /** Returns the head and body of a response with a length. */
    public static String response(int status, String headers, String body) {
        String separator = headers.isEmpty() ? "" : "\r\n";
        return "HTTP/1.1 "
                + status
                + " x\r\n"
                + headers.replace("|", "\r\n")
                + separator
                + "Content-Length: "
                + body.length()
                + HEAD_END
                + body;
    }

    /** Returns the head of a signed stream of events for the request {@code id}. */
    public static String streamHead(String id) {
        return "HTTP/1.1 200 OK\r\nId: "
                + id
                + "\r\nSigned: 1\r\nEvents: 1\r\nTransfer-Encoding: chunked"
                + HEAD_END;
    }

    /** Returns a chunk with one event. */
    public static String event(int id) {
        String event = "id: " + id + "\ndata: e" + id + "\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    /** Returns the chunk that ends a response. */
    public static String lastChunk() {
        return "0" + HEAD_END;
    }
}
