package org.sesamepin.node.fleet;

import io.vertx.core.json.JsonObject;

/**
 * The bundle version that the fleet shall use, as stored in the platform's store.
 *
 * @param version the bundle version
 * @param rollId id of the rollout; an operator who did not receive the reply of the store finds out
 *     by it whether the stored rollout is the own one
 * @param operator name of the operator who rolled the version out
 */
public record BundleHead(long version, String rollId, String operator) {
    /** Returns the JSON form in which the head is stored. */
    public String toJson() {
        return new JsonObject()
                .put("version", version)
                .put("roll_id", rollId)
                .put("operator", operator)
                .encode();
    }

    /** Parses the JSON form in which the head is stored. */
    public static BundleHead fromJson(String json) {
        JsonObject object = new JsonObject(json);
        return new BundleHead(
                object.getLong("version"),
                object.getString("roll_id"),
                object.getString("operator"));
    }
}
