package org.sesamepin.core.bundle;

import org.sesamepin.core.key.KeyDigest;

/**
 * A caller key as stored in the bundle, which holds only a digest of the secret.
 *
 * @param id public name of the key; it is part of the secret's text
 * @param customer name of the customer that the key belongs to
 * @param digest digest of the secret
 * @param withdrawn whether the key has been withdrawn
 */
public record CallerKey(String id, String customer, KeyDigest digest, boolean withdrawn) {}
