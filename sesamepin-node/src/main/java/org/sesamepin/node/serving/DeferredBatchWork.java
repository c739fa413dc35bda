package org.sesamepin.node.serving;

import java.util.Map;
import java.util.function.Supplier;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.target.TargetInstance;

/**
 * Looks up the batch work at each call, because the job runner and the placement client depend on
 * each other and the placement client is created first.
 *
 * @param batchWork supplies the job runner
 */
record DeferredBatchWork(Supplier<? extends BatchWork> batchWork) implements BatchWork {
    @Override
    public boolean suspendOne(TargetInstance target) {
        return batchWork.get().suspendOne(target);
    }

    @Override
    public boolean runOne(String service, TargetInstance target) {
        return batchWork.get().runOne(service, target);
    }

    @Override
    public Map<String, Integer> waitingItems() {
        return batchWork.get().waitingItems();
    }

    @Override
    public long firstDueInMs() {
        return batchWork.get().firstDueInMs();
    }

    @Override
    public ItemRunTimes runTimes() {
        return batchWork.get().runTimes();
    }
}
