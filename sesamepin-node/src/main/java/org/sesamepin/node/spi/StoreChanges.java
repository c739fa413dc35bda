package org.sesamepin.node.spi;

import java.util.List;

/**
 * Answer to a watch.
 *
 * @param revision revision from which the next watch continues
 * @param changes the changes in their order
 * @param compacted whether the store no longer has the changes asked for, so that the prefix has to
 *     be listed again
 */
public record StoreChanges(long revision, List<StoreChange> changes, boolean compacted) {}
