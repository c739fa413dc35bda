package org.sesamepin.node.serving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/**
 * A target on plain sockets: its script decides which bytes are flushed when, whether a request is
 * read whole, and how a connection ends. Each connection has a thread of its own.
 */
final class SocketTarget implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern LENGTH =
            Pattern.compile("content-length: (\\d+)", Pattern.CASE_INSENSITIVE);
    private static final Pattern ID = Pattern.compile("\r\nId: (\\S+)", Pattern.CASE_INSENSITIVE);

    /** Answers a request whose head was read. */
    interface Script {
        /**
         * Reads the rest of a request and writes its response.
         *
         * @param number number of the request on its connection, from 1
         */
        void answer(Link link, String id, int number) throws IOException;
    }

    /** How a connection ends after a response. */
    enum End {
        FIN,
        RESET,
        HALF_CLOSE,
        NONE
    }

    /** The target's end of a connection. */
    static final class Link {
        private final Socket mSocket;
        private int mUnreadBytes;

        private Link(Socket socket) {
            mSocket = socket;
        }

        /** Sends bytes at once. */
        void write(String text) throws IOException {
            mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            mSocket.getOutputStream().flush();
        }

        /** Reads the rest of the request's body. */
        void readBody() throws IOException {
            mSocket.getInputStream().skipNBytes(mUnreadBytes);
            mUnreadBytes = 0;
        }

        /** Ends the connection as {@code end} names it. */
        void end(End end) throws IOException {
            switch (end) {
                case FIN -> mSocket.close();
                case RESET -> {
                    mSocket.setSoLinger(true, 0);
                    mSocket.close();
                }
                case HALF_CLOSE -> mSocket.shutdownOutput();
                case NONE -> readBody();
            }
        }

        private @Nullable String readHead() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            InputStream in = mSocket.getInputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(HEAD_END)) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.write(next);
            }
            String text = head.toString(StandardCharsets.ISO_8859_1);
            Matcher length = LENGTH.matcher(text);
            mUnreadBytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
            return text;
        }
    }

    private final ServerSocket mServer;
    private final Script mScript;
    private final TargetInstance mInstance;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();
    private final AtomicInteger mUsedLinks = new AtomicInteger();

    /** Starts a target of the service {@code s} on a free port. */
    SocketTarget(String id, Script script) throws IOException {
        mScript = script;
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", mServer.getLocalPort());
        mInstance = new TargetInstance(id, 1, "s", "v1", address, "a", 8, TargetState.READY, 0);
        startThread(this::accept);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "socket-target");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                Link link = new Link(socket);
                mLinks.add(link);
                startThread(() -> serve(link));
            }
        } catch (IOException e) {
            // The target was closed.
        }
    }

    private void serve(Link link) {
        try {
            int number = 0;
            String head = link.readHead();
            while (head != null) {
                number++;
                if (number == 1) {
                    mUsedLinks.incrementAndGet();
                }
                Matcher id = ID.matcher(head);
                mScript.answer(link, id.find() ? id.group(1) : "", number);
                link.readBody();
                head = link.readHead();
            }
        } catch (IOException e) {
            // The script or the client closed the connection.
        }
    }

    /** Returns the registration of the target. */
    TargetInstance instance() {
        return mInstance;
    }

    /** Returns on how many connections a request was received. */
    int connections() {
        return mUsedLinks.get();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Link link : mLinks) {
            link.end(End.FIN);
        }
    }
}
