package org.sesamepin.node.stream;

import java.util.HashSet;
import java.util.Set;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.stream.StoredOrigins;
import org.sesamepin.core.stream.StreamRecordCodec;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoredJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the store holds about streams, as one listing showed it.
 *
 * @param origins statements and records
 * @param buckets keys of the buckets of records
 */
record OriginListing(StoredOrigins origins, Set<String> buckets) {
    private static final Logger LOG = LoggerFactory.getLogger(OriginListing.class);

    /** Decodes a listing; an entry that cannot be decoded costs only itself. */
    static OriginListing decode(StoreListing listing) {
        OriginListing decoded = new OriginListing(new StoredOrigins(), new HashSet<>());
        for (StoreEntry entry : listing.entries()) {
            try {
                decoded.add(entry);
            } catch (SesamepinException | IllegalArgumentException e) {
                LOG.warn(
                        "step=stream-origin key={} outcome=unusable cause={}",
                        entry.key(),
                        e.getMessage());
            }
        }
        return decoded;
    }

    private void add(StoreEntry entry) throws SesamepinException {
        if (entry.key().startsWith(ServingKeys.streamVersionsPrefix())) {
            TargetSoftware version =
                    StoredJson.decode(
                            entry.key(),
                            entry.value(),
                            json ->
                                    new TargetSoftware(
                                            json.getString("service"), json.getString("version")));
            origins.addStatement(version, entry.modRevision());
        } else if (entry.key().startsWith(ServingKeys.streamRecordsPrefix())) {
            buckets.add(entry.key());
            StreamRecordCodec.decode(entry.value()).forEach(origins::addRecord);
        }
    }
}
