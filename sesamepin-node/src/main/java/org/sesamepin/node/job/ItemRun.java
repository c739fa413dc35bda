package org.sesamepin.node.job;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobProgress;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.serving.CallHead;
import org.sesamepin.node.serving.ReplyHead;
import org.sesamepin.node.serving.ServingContext;
import org.sesamepin.node.serving.TargetAttempt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One run of a batch item at one target; what it yields goes into the job's progress. */
final class ItemRun implements TargetAttempt.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ItemRun.class);
    private static final long BUDGET_MS = TimeUnit.SECONDS.toMillis(20);
    private static final long SILENCE_MS = 2_000;
    private static final int SERVER_ERROR = 500;
    private static final int CANNOT_BE_DONE = 422;
    private static final String DATA_FIELD = "data:";

    private final ServingContext mNode;
    private final OwnedJob mJob;
    private final int mIndex;
    private final ServingRoute mRoute;
    private final TargetInstance mTarget;
    private final Runnable mOnEnd;
    private final TargetAttempt mAttempt;

    /** Creates a run; {@code onEnd} runs after it has ended in any way but {@link #suspend}. */
    ItemRun(
            ServingContext node,
            OwnedJob job,
            int index,
            ServingRoute route,
            TargetInstance target,
            Runnable onEnd) {
        mNode = node;
        mJob = job;
        mIndex = index;
        mRoute = route;
        mTarget = target;
        mOnEnd = onEnd;
        JobItem item = job.progress().item(index);
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(item.headers());
        int query = item.path().indexOf('?');
        String path = query < 0 ? item.path() : item.path().substring(0, query);
        CallHead head =
                new CallHead(
                        item.id(),
                        HttpMethod.POST,
                        route.host(),
                        path,
                        item.path(),
                        null,
                        0,
                        null,
                        headers);
        long after = job.progress().lastEventId(index);
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        head,
                        Buffer.buffer(item.body()),
                        job.summary().customer(),
                        BUDGET_MS,
                        after > 0 ? Long.toString(after) : null,
                        true,
                        true,
                        SILENCE_MS);
        mAttempt = new TargetAttempt(node, target, plan, this);
    }

    TargetInstance target() {
        return mTarget;
    }

    void start() {
        progress().recordStart(mIndex);
        mJob.runs().put(mIndex, this);
        LOG.info(
                "step=place request={} job={} route={} customer={} target={} resume_after={}"
                        + " config_version={}",
                itemId(),
                mJob.id(),
                mRoute.name(),
                mJob.summary().customer(),
                mTarget.incarnation(),
                progress().lastEventId(mIndex),
                mNode.state().config().version());
        mAttempt.start();
    }

    /** Ends the run; the item stays open behind its last event. */
    void suspend() {
        mAttempt.cancel();
        mJob.runs().remove(mIndex);
        progress().recordSuspension(mIndex);
        mNode.metrics().item("suspended");
        LOG.info(
                "step=item request={} job={} target={} outcome=suspended after_event={}",
                itemId(),
                mJob.id(),
                mTarget.incarnation(),
                progress().lastEventId(mIndex));
    }

    private JobProgress progress() {
        return mJob.progress();
    }

    private String itemId() {
        return progress().item(mIndex).id();
    }

    @Override
    public void sent() {}

    @Override
    public void streamStarted(ReplyHead head) {}

    @Override
    public void event(Buffer event, long id) {
        progress().appendEvent(mIndex, id, data(event));
    }

    private static String data(Buffer event) {
        StringBuilder data = new StringBuilder();
        for (String line : event.toString(StandardCharsets.UTF_8).split("\n")) {
            if (!line.startsWith(DATA_FIELD)) {
                continue;
            }
            if (data.length() > 0) {
                data.append('\n');
            }
            String value = line.substring(DATA_FIELD.length());
            data.append(value.startsWith(" ") ? value.substring(1) : value);
        }
        return data.toString();
    }

    @Override
    public void streamEnded() {
        progress().recordCompletion(mIndex);
        end("done", "");
    }

    @Override
    public void answered(ReplyHead head, Buffer body) {
        long now = mNode.ticker().nanoTime();
        if (head.status() == CANNOT_BE_DONE) {
            progress().failPermanently(mIndex);
        } else if (head.status() == SERVER_ERROR) {
            progress().recordFailure(mIndex, Math.max(1, mRoute.maxAttempts()), now);
        } else {
            progress().recordInterruption(mIndex, now);
        }
        end("status-" + head.status(), "");
    }

    @Override
    public void refused(boolean wasSent, String reason) {
        progress().recordInterruption(mIndex, mNode.ticker().nanoTime());
        end("refused", reason);
    }

    @Override
    public void broken(String reason) {
        progress().recordInterruption(mIndex, mNode.ticker().nanoTime());
        end("broken", reason);
    }

    private void end(String outcome, String cause) {
        mJob.runs().remove(mIndex);
        mNode.metrics().item(outcome);
        LOG.info(
                "step=item request={} job={} target={} outcome={} after_event={} cause=\"{}\"",
                itemId(),
                mJob.id(),
                mTarget.incarnation(),
                outcome,
                progress().lastEventId(mIndex),
                cause);
        mOnEnd.run();
    }
}
