import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 reader, server and client over plain sockets, with a thread a connection. */
final class Http {
    private static final int MAX_LINE_BYTES = 64 << 10;

    private Http() {}

    /** A request or response as it was read; {@code start} is its first line. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return start.split(" ")[0];
        }

        String uri() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles the requests of one connection. */
    interface Handler {
        /** Answers a request; returns whether the connection stays open. */
        boolean handle(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** A server on a loopback address; {@link #reset} ends all its connections with a reset. */
    static final class Server {
        private final ServerSocket mListener;
        private final Handler mHandler;
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

        Server(InetSocketAddress address, Handler handler) throws IOException {
            mListener = new ServerSocket();
            mListener.setReuseAddress(true);
            mListener.bind(address, 512);
            mHandler = handler;
            Thread acceptor = new Thread(this::accept, "accept-" + address);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept() {
            while (!mListener.isClosed()) {
                try {
                    Socket socket = mListener.accept();
                    mSockets.add(socket);
                    Thread thread = new Thread(null, () -> serve(socket), "serve", 256 << 10);
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    // The listener was closed.
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
                OutputStream out = socket.getOutputStream();
                Message request = readMessage(in, false);
                while (request != null && mHandler.handle(request, socket, out)) {
                    request = readMessage(in, false);
                }
            } catch (IOException e) {
                // The peer has left, or the connection was reset.
            } finally {
                mSockets.remove(socket);
            }
        }

        /** Closes the listener and resets all connections, as the end of a process does. */
        void reset() throws IOException {
            mListener.close();
            for (Socket socket : mSockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(128);
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n' && line.size() < MAX_LINE_BYTES) {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the start line and the headers; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null || start.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            String name = line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).strip());
        }
        return new Message(start, headers, new byte[0]);
    }

    /** Reads a message with its body; null at the end of the connection. */
    static Message readMessage(InputStream in, boolean isResponse) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] c = readChunk(in); c.length > 0; c = readChunk(in)) {
                all.writeBytes(c);
            }
            body = all.toByteArray();
        } else if (head.header("Content-Length") != null) {
            int length = Integer.parseInt(head.header("Content-Length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("cut within a body");
            }
        } else {
            body = isResponse ? in.readAllBytes() : new byte[0];
        }
        return new Message(head.start(), head.headers(), body);
    }

    /** Reads a chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new IOException("cut between chunks");
        }
        int length = Integer.parseInt(size.split(";")[0].strip(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
            throw new IOException("cut within a chunk");
        }
        readLine(in);
        return chunk;
    }

    /** Sends a whole response. */
    static void respond(OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        String head = "HTTP/1.1 " + status + "\r\n" + headers;
        head += "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream(head.length() + body.length);
        all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Sends a request on a new connection and reads the whole response. */
    static Message call(
            InetSocketAddress to, String start, String headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), start, headers, body);
            Message response =
                    readMessage(new BufferedInputStream(socket.getInputStream()), true);
            if (response == null) {
                throw new IOException("closed without a response");
            }
            return response;
        }
    }

    static void send(OutputStream out, String start, String headers, byte[] body)
            throws IOException {
        String head = start + " HTTP/1.1\r\n" + headers;
        if (body.length > 0) {
            head += "Content-Length: " + body.length + "\r\n";
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream(head.length() + body.length + 2);
        all.writeBytes((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Returns a port that is free on a loopback address. */
    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }
}
