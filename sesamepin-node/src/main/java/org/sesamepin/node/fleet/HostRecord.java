package org.sesamepin.node.fleet;

import io.vertx.core.json.JsonObject;

/**
 * The record of a host in the platform's store; the store deletes it when the host's lease ends.
 *
 * @param host name of the host
 * @param incarnation number that changes with each start of the host's process
 * @param failureDomain failure domain of the host
 * @param weight size of the host relative to the others
 * @param peerAddress address at which the host listens for other nodes
 * @param adminAddress address at which the host listens for operators
 * @param callerAddress address at which the host listens for callers
 * @param activeVersion active bundle version of the host
 * @param leaving whether the host is stopping
 * @param rejectionReason why the host rejected a bundle; empty when it rejected none
 */
public record HostRecord(
        String host,
        long incarnation,
        String failureDomain,
        int weight,
        String peerAddress,
        String adminAddress,
        String callerAddress,
        long activeVersion,
        boolean leaving,
        String rejectionReason) {
    /** Returns the JSON form in which the record is stored. */
    public String toJson() {
        return new JsonObject()
                .put("host", host)
                .put("incarnation", incarnation)
                .put("failure_domain", failureDomain)
                .put("weight", weight)
                .put("peer", peerAddress)
                .put("admin", adminAddress)
                .put("caller", callerAddress)
                .put("in_force", activeVersion)
                .put("leaving", leaving)
                .put("refused", rejectionReason)
                .encode();
    }

    /** Parses the JSON form in which the record is stored. */
    public static HostRecord fromJson(String json) {
        JsonObject object = new JsonObject(json);
        return new HostRecord(
                object.getString("host"),
                object.getLong("incarnation"),
                object.getString("failure_domain"),
                object.getInteger("weight"),
                object.getString("peer"),
                object.getString("admin"),
                object.getString("caller"),
                object.getLong("in_force"),
                object.getBoolean("leaving"),
                object.getString("refused", ""));
    }
}
