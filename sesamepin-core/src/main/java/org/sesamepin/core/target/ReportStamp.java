package org.sesamepin.core.target;

/**
 * Says which of a host's reports a report is, and which grants it counts. Reports are sent on
 * several connections, so that they may arrive in another order.
 *
 * @param incarnation start of the host's process; a later process has a higher one
 * @param sequence rises with each report of the process
 * @param receipt grants of the receiving coordinator that the host had handled
 */
public record ReportStamp(long incarnation, long sequence, GrantReceipt receipt) {
    /** Returns whether the report was made before the one with {@code other}. */
    public boolean isOlderThan(ReportStamp other) {
        return incarnation == other.incarnation
                ? sequence < other.sequence
                : incarnation < other.incarnation;
    }
}
