package org.sesamepin.node.serving;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The network paths of each host to all targets; one host's paths are cut together. */
final class TargetLinks implements AutoCloseable {
    private final Map<String, Map<InetSocketAddress, TargetLink>> mLinks =
            new ConcurrentHashMap<>();

    /** Returns the address at which a host finds the target that listens at {@code target}. */
    InetSocketAddress addressFor(String host, InetSocketAddress target) {
        return mLinks.computeIfAbsent(host, h -> new ConcurrentHashMap<>())
                .computeIfAbsent(target, TargetLinks::newLink)
                .address();
    }

    private static TargetLink newLink(InetSocketAddress target) {
        try {
            return new TargetLink(target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Cuts a host off from all targets. */
    void cut(String host, TargetLink.Cut cut) throws IOException {
        for (TargetLink link : linksOf(host)) {
            link.cut(cut);
        }
    }

    /** Restores a host's paths. */
    void restore(String host) throws IOException {
        for (TargetLink link : linksOf(host)) {
            link.restore();
        }
    }

    private List<TargetLink> linksOf(String host) {
        return new ArrayList<>(mLinks.getOrDefault(host, Map.of()).values());
    }

    @Override
    public void close() throws IOException {
        for (String host : mLinks.keySet()) {
            for (TargetLink link : linksOf(host)) {
                link.close();
            }
        }
    }
}
