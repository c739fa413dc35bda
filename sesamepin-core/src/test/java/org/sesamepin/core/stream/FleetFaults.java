package org.sesamepin.core.stream;

import java.util.List;

/**
 * What happens in a simulated fleet besides changes of the targets.
 *
 * @param lostShare share of the store's answers that are lost
 * @param lateShare share of the writes that are carried out seconds later, without an answer
 * @param kills moments at which all hosts are killed, milliseconds
 * @param statesFirst whether versions are stated at once, and first events wait for it
 * @param outages times during which single hosts are out of step
 */
record FleetFaults(
        double lostShare,
        double lateShare,
        List<Long> kills,
        boolean statesFirst,
        List<HostOutage> outages) {}
