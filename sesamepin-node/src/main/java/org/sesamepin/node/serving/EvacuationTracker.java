package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sesamepin.core.target.EvacuationOrders;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts the operator's orders to evacuate failure domains in force as soon as they are read from the
 * store or from the report of a peer that has read the store at a later revision. Orders hold while
 * the store is unavailable. Confined to the event loop.
 */
final class EvacuationTracker implements StoreMirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(EvacuationTracker.class);

    private final FleetProtocol mProtocol;
    private final ServingState mState;
    private final WarmUpTracker mWarmUps;

    /** Domains in force for which it was checked whether any target names them. */
    private final Set<String> mCheckedDomains = new HashSet<>();

    /**
     * Creates a tracker that sets the orders of {@code state}.
     *
     * @param warmUps learns which targets may be cold since they got no requests
     */
    EvacuationTracker(FleetProtocol protocol, ServingState state, WarmUpTracker warmUps) {
        mProtocol = protocol;
        mState = state;
        mWarmUps = warmUps;
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        Set<String> domains = domainsOf(listing);
        setOrders(mState.evacuation().replacedBy(domains, listing.revision()), "listing");
    }

    private Set<String> domainsOf(StoreListing listing) {
        Set<String> domains = new HashSet<>();
        for (StoreEntry entry : listing.entries()) {
            String domain = mProtocol.evacuatedDomain(entry.key());
            if (domain != null) {
                domains.add(domain);
            }
        }
        return domains;
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        List<EvacuationOrders.Change> orders = new ArrayList<>();
        for (StoreChange change : changes.changes()) {
            String domain = mProtocol.evacuatedDomain(change.key());
            if (domain != null) {
                boolean ordered = change.entry() != null;
                orders.add(new EvacuationOrders.Change(domain, ordered, change.revision()));
            }
        }
        setOrders(mState.evacuation().after(orders), "watch");
    }

    @Override
    public boolean isOutdatedBy(StoreListing listing) {
        EvacuationOrders orders = mState.evacuation();
        return listing.revision() > orders.revision()
                && !domainsOf(listing).containsAll(orders.domains());
    }

    /** Adopts the orders that a peer knows if it has read them at a later revision of the store. */
    void recordReport(HostReport report) {
        if (report.isSetEvacuatedDomains() && report.isSetEvacuationRevision()) {
            Set<String> domains = report.getEvacuatedDomains();
            setOrders(
                    mState.evacuation().replacedBy(domains, report.getEvacuationRevision()),
                    "peer-" + report.getHost());
        }
    }

    /** Adds the orders that this host knows to a report. */
    void addTo(HostReport report) {
        EvacuationOrders orders = mState.evacuation();
        if (orders.isKnown()) {
            report.setEvacuatedDomains(orders.domains());
            report.setEvacuationRevision(orders.revision());
        }
    }

    private void setOrders(EvacuationOrders orders, String source) {
        EvacuationOrders former = mState.evacuation();
        if (orders == former) {
            return;
        }
        mState.setEvacuation(orders);
        orders.domainsNotIn(former).forEach(domain -> log(domain, orders, source, "in-force"));
        Set<String> lifted = former.domainsNotIn(orders);
        lifted.forEach(domain -> log(domain, orders, source, "lifted"));
        if (!lifted.isEmpty()) {
            mWarmUps.recordLifted(lifted);
        }
        mCheckedDomains.retainAll(orders.domains());
    }

    private void log(String domain, EvacuationOrders orders, String source, String outcome) {
        LOG.info(
                "step=evacuation domain={} targets={} store_revision={} source={} outcome={}",
                domain,
                targetsIn(domain),
                orders.revision(),
                source,
                outcome);
    }

    private long targetsIn(String domain) {
        return mState.targets().targetsById().values().stream()
                .filter(target -> target.failureDomain().equals(domain))
                .count();
    }

    /**
     * Logs each order for a failure domain that no registered target names, once. Such an order may
     * be misspelt; it holds for targets that register there later.
     */
    void warnOfUnknownDomains() {
        if (!mState.areTargetsKnown()) {
            return;
        }
        for (String domain : mState.evacuation().domains()) {
            if (mCheckedDomains.add(domain) && targetsIn(domain) == 0) {
                LOG.warn("step=evacuation domain={} outcome=unknown-domain", domain);
            }
        }
    }

    /** Registers the metric of the orders in force. */
    void registerMetrics(ServingMetrics metrics) {
        metrics.gauge(
                "sesamepin_evacuated_domains",
                "Failure domains whose targets get no requests by order of the operator.",
                () -> mState.evacuation().domains().size());
    }
}
