import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client with one thread per connection. */
final class Http {
    static final String IP = "127.0.0.1";

    private Http() {}

    /** A message: a request as read by the server, or a response as read by the client. */
    static final class Message {
        String method = "";
        String path = "";
        int status;
        final Map<String, String> query = new HashMap<>();
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request; writes the response to the socket itself. */
    interface Handler {
        /** Returns whether the connection stays open for further requests. */
        boolean handle(Message request, Socket socket) throws Exception;
    }

    /** A listener and its open connections. */
    static final class Server {
        private final ServerSocket mListener;
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

        private Server(ServerSocket listener) {
            mListener = listener;
        }

        int port() {
            return mListener.getLocalPort();
        }

        /** Closes the listener and all connections, as the end of the process does. */
        void close() throws IOException {
            mListener.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        }
    }

    /** Starts a server on a free port of the loopback address. */
    static Server serve(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(IP), 0), 512);
        Server server = new Server(listener);
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                server.mSockets.add(socket);
                start(() -> {
                    try {
                        serveConnection(handler, socket);
                    } finally {
                        server.mSockets.remove(socket);
                    }
                });
            }
        });
        return server;
    }

    interface Task {
        void run() throws Exception;
    }

    static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void serveConnection(Handler handler, Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    return;
                }
                Message request = new Message();
                String[] words = line.split(" ");
                request.method = words[0];
                int mark = words[1].indexOf('?');
                request.path = mark < 0 ? words[1] : words[1].substring(0, mark);
                if (mark >= 0) {
                    for (String pair : words[1].substring(mark + 1).split("&")) {
                        int equals = pair.indexOf('=');
                        request.query.put(pair.substring(0, equals),
                                URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
                readHeaders(in, request);
                readBody(in, request, false);
                if (!handler.handle(request, socket)) {
                    return;
                }
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.UTF_8).stripTrailing();
            }
            line.write(b);
        }
        return null;
    }

    private static void readHeaders(InputStream in, Message message) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
    }

    private static void readBody(InputStream in, Message message, boolean toEnd) throws IOException {
        String length = message.headers.get("Content-Length");
        String encoding = message.headers.getOrDefault("Transfer-Encoding", "");
        if (encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("the body was cut");
                }
                byte[] part = in.readNBytes(Integer.parseInt(size, 16));
                body.write(part);
                readLine(in);
                if (part.length == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            int expected = Integer.parseInt(length);
            message.body = in.readNBytes(expected);
            if (message.body.length < expected) {
                throw new IOException("the body was cut");
            }
        } else if (toEnd) {
            message.body = in.readAllBytes();
        }
    }

    static void respond(Socket socket, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " x\r\n" + headers
                + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(body);
        OutputStream out = socket.getOutputStream();
        out.write(all.toByteArray());
        out.flush();
    }

    static void respondJson(Socket socket, int status, String json) throws IOException {
        respond(socket, status, "Content-Type: application/json\r\n",
                json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends one request on a new connection and reads the whole response.
     *
     * @throws IOException when the connection fails, or the response is cut or late
     */
    static Message call(int port, String method, String uri, Map<String, String> headers, byte[] body,
            int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(IP, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + ' ' + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = readLine(in);
            if (line == null) {
                throw new IOException("closed without a response");
            }
            Message response = new Message();
            response.status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(in, response);
            readBody(in, response, true);
            return response;
        }
    }
}
