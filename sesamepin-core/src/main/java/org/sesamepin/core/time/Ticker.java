package org.sesamepin.core.time;

/** Monotonic clock of one host, in nanoseconds from an arbitrary origin. */
@FunctionalInterface
public interface Ticker {
    /** Ticker of the running process. */
    Ticker SYSTEM = System::nanoTime;

    /** Returns the current time in nanoseconds; never decreases within a process. */
    long nanoTime();
}
