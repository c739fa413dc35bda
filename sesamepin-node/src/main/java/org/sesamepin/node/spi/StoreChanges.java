package org.sesamepin.node.spi;

import java.util.List;

/**
 * Reply to a watch.
 *
 * @param revision revision after which the next watch continues
 * @param changes the changes in the order of their revisions
 * @param compacted whether the store has compacted away the requested changes, so that the prefix
 *     has to be listed again
 */
public record StoreChanges(long revision, List<StoreChange> changes, boolean compacted) {}
