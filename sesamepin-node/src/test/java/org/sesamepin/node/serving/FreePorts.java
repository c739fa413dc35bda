package org.sesamepin.node.serving;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports below those that the system gives to outgoing connections. */
public final class FreePorts {
    private static final int FIRST_PORT = 15_000;
    private static final int END_PORT = 30_000;

    private FreePorts() {}

    /** Returns a loopback address on which nobody listens. */
    public static InetSocketAddress address() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (isFree(port)) {
                return new InetSocketAddress("127.0.0.1", port);
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
