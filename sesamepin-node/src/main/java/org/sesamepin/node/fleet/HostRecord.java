package org.sesamepin.node.fleet;

import io.vertx.core.json.JsonObject;

/**
 * What a host says of itself in the store, for as long as its lease lasts.
 *
 * @param host name of the host
 * @param incarnation changes with each start of its process
 * @param failureDomain its failure domain
 * @param weight its size against the others
 * @param peerAddress where other nodes reach it
 * @param adminAddress where operators reach it
 * @param callerAddress where callers reach it
 * @param activeVersion bundle version in force on it
 * @param leaving whether it is stopping
 * @param rejectionReason why a newer bundle is not in force; empty when none was refused
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
    /** Returns the value as kept in the store. */
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

    /** Reads the value as kept in the store. */
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
