package org.sesamepin.node.serving;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The network path from one host to one target, which can be cut. Has threads of its own. */
final class TargetLink implements AutoCloseable {
    /** What becomes of old and new connections in a cut. */
    enum Cut {
        /** Old connections stall, new ones are not made. */
        HANG,
        /** Old connections are reset, new ones are refused. */
        RESET,
        /** Old connections live on, new ones are refused. */
        REFUSE_NEW
    }

    private static final int BACKLOG = 1;
    private static final int BUFFER_BYTES = 1 << 14;
    private static final int FILLING_CONNECTIONS = 8;
    private static final int FILL_TIMEOUT_MS = 30;

    private final InetSocketAddress mTarget;
    private final int mPort;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final List<Socket> mFilling = new ArrayList<>();
    private volatile ServerSocket mServer;
    private volatile boolean mStalled;

    TargetLink(InetSocketAddress target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        mPort = mServer.getLocalPort();
        startThread(() -> accept(mServer));
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "target-link");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address at which the host finds the target. */
    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", mPort);
    }

    private void accept(ServerSocket server) {
        try {
            while (!mStalled) {
                Socket host = server.accept();
                mSockets.add(host);
                if (mStalled) {
                    return;
                }
                connect(host);
            }
        } catch (IOException e) {
            // The path was cut or closed.
        }
    }

    private void connect(Socket host) {
        try {
            Socket target = new Socket(mTarget.getAddress(), mTarget.getPort());
            host.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            mSockets.add(target);
            startThread(() -> pass(host, target));
            startThread(() -> pass(target, host));
        } catch (IOException e) {
            reset(host);
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!mStalled) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // Both ends are closed below.
        }
        if (!mStalled) {
            close(from);
            close(to);
        }
    }

    /** Cuts the path. */
    void cut(Cut cut) throws IOException {
        if (cut == Cut.HANG) {
            mStalled = true;
            fillBacklog();
            return;
        }
        mServer.close();
        if (cut == Cut.RESET) {
            mSockets.forEach(TargetLink::reset);
            mSockets.clear();
        }
    }

    /** Lets the kernel drop all further attempts to connect. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < FILLING_CONNECTIONS; i++) {
            Socket socket = new Socket();
            mFilling.add(socket);
            try {
                socket.connect(address(), FILL_TIMEOUT_MS);
            } catch (IOException e) {
                return;
            }
        }
        throw new IOException("the backlog is not full");
    }

    /** Restores the path for new connections; old ones that stall are reset. */
    void restore() throws IOException {
        mServer.close();
        mFilling.forEach(TargetLink::close);
        mFilling.clear();
        if (mStalled) {
            mSockets.forEach(TargetLink::reset);
            mSockets.clear();
        }
        mStalled = false;
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address(), BACKLOG);
        mServer = server;
        startThread(() -> accept(server));
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed.
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mSockets.forEach(TargetLink::reset);
        mFilling.forEach(TargetLink::close);
    }
}
