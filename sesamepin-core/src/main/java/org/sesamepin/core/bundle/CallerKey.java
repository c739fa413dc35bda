package org.sesamepin.core.bundle;

import org.sesamepin.core.key.KeyDigest;

/**
 * A caller key as the bundle holds it: never the secret itself.
 *
 * @param id public name of the key; it is part of the secret's text
 * @param customer name of the customer on whose behalf the key acts
 * @param digest digest of the secret
 * @param withdrawn whether the key has been withdrawn
 */
public record CallerKey(String id, String customer, KeyDigest digest, boolean withdrawn) {}
