package org.sesamepin.node.spi;

import java.util.List;

/**
 * All entries whose keys start with a prefix.
 *
 * @param revision revision of the listing, after which changes can be watched
 * @param entries the entries in the order of their keys
 */
public record StoreListing(long revision, List<StoreEntry> entries) {}
