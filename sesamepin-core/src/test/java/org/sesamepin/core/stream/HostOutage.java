package org.sesamepin.core.stream;

/** A time during which one host of a simulated fleet is out of step with the others. */
record HostOutage(int host, Kind kind, long fromMs, long untilMs) {
    /** How a host is out of step. */
    enum Kind {
        /** Its process stands still; what was due meanwhile happens afterwards, in any order. */
        PAUSED,
        /** Its watch of the targets is silent. */
        VIEW_STALE,
        /** Its watch is silent, and its calls to the store are lost. */
        STORE_UNREACHABLE
    }

    boolean holds(long atMs) {
        return fromMs <= atMs && atMs < untilMs;
    }
}
