package org.sesamepin.node.serving;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A caller on plain sockets, which reads each answer byte by byte. */
final class SocketCaller implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;
    private static final String LINE_END = "\r\n";

    /**
     * What a caller received.
     *
     * @param status HTTP status; 0 when the connection ended before a whole answer
     * @param mark signature of the target; empty without one
     */
    record Answer(int status, String mark, String body) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    private final int mPort;
    private Socket mSocket;

    SocketCaller(int port) throws IOException {
        mPort = port;
        mSocket = connect();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", mPort);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends a request and returns its answer; bytes behind it fail the next call. */
    Answer call(String method, String id, int bodyBytes) throws IOException {
        String head =
                method
                        + " /x HTTP/1.1\r\nHost: h\r\nId: "
                        + id
                        + "\r\nContent-Length: "
                        + bodyBytes
                        + "\r\n\r\n";
        mSocket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().write(bodyOf(id, bodyBytes));
        try {
            return read(method.equals("HEAD"));
        } catch (EOFException e) {
            mSocket.close();
            mSocket = connect();
            return new Answer(0, "", "");
        }
    }

    /** Returns a body that no other request has. */
    private static byte[] bodyOf(String id, int size) {
        return Arrays.copyOf((id + " ").getBytes(StandardCharsets.ISO_8859_1), size);
    }

    private Answer read(boolean hasNoBody) throws IOException {
        String statusLine = readLine();
        if (!statusLine.startsWith("HTTP/1.1 ")) {
            throw new IllegalStateException("bytes without an answer: " + statusLine);
        }
        Map<String, String> headers = readHeaders();
        int status = Integer.parseInt(statusLine.substring(9, 12));
        String body = hasNoBody ? "" : readBody(headers);
        if ("close".equals(headers.get("connection"))) {
            mSocket.close();
            mSocket = connect();
        }
        return new Answer(status, headers.getOrDefault("mark", ""), body);
    }

    private Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new TreeMap<>();
        String line = readLine();
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.merge(name, line.substring(colon + 1).strip(), (a, b) -> a + "," + b);
            line = readLine();
        }
        return headers;
    }

    private String readBody(Map<String, String> headers) throws IOException {
        if (!"chunked".equals(headers.get("transfer-encoding"))) {
            return readText(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        StringBuilder body = new StringBuilder();
        int size = Integer.parseInt(readLine(), 16);
        while (size > 0) {
            body.append(readText(size));
            readLine();
            size = Integer.parseInt(readLine(), 16);
        }
        readLine();
        return body.toString();
    }

    private String readText(int size) throws IOException {
        byte[] bytes = mSocket.getInputStream().readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException();
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        InputStream in = mSocket.getInputStream();
        String text = "";
        while (!text.endsWith(LINE_END)) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            line.write(next);
            text = line.toString(StandardCharsets.ISO_8859_1);
        }
        return text.substring(0, text.length() - LINE_END.length());
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
