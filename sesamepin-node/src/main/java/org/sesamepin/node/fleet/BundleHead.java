package org.sesamepin.node.fleet;

import io.vertx.core.json.JsonObject;

/**
 * Which bundle version is in force, as kept in the store.
 *
 * @param version the version
 * @param rollId names the roll, so an operator whose answer was lost can tell whose roll it was
 * @param operator who rolled it
 */
public record BundleHead(long version, String rollId, String operator) {
    /** Returns the value as kept in the store. */
    public String toJson() {
        return new JsonObject()
                .put("version", version)
                .put("roll_id", rollId)
                .put("operator", operator)
                .encode();
    }

    /** Reads the value as kept in the store. */
    public static BundleHead fromJson(String json) {
        JsonObject object = new JsonObject(json);
        return new BundleHead(
                object.getLong("version"),
                object.getString("roll_id"),
                object.getString("operator"));
    }
}
