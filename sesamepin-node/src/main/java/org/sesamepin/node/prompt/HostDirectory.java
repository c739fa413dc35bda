package org.sesamepin.node.prompt;

import java.util.Map;

/** What a {@link PromptGuard} needs to know of the fleet. */
public interface HostDirectory {
    /** Returns the name of this host. */
    String self();

    /** Returns the IP address and port at which each other host listens for hosts, by name. */
    Map<String, String> peerAddresses();

    /** Returns whether this host is the one of all hosts that sends probes for {@code key}. */
    boolean isProberOf(String key);
}
