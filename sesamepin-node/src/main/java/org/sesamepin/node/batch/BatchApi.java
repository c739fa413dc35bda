package org.sesamepin.node.batch;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.Compression;
import org.sesamepin.core.batch.JobRecord;
import org.sesamepin.core.batch.JobStatus;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.key.KeyDigest;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.fleet.StoreKeys;
import org.sesamepin.node.http.BodyReader;
import org.sesamepin.node.http.Contexts;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.limit.Admission;
import org.sesamepin.node.limit.RateLimiter;
import org.sesamepin.node.online.Authenticator;
import org.sesamepin.node.online.CallerIdentity;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.JobNotice;
import org.sesamepin.node.peer.generated.JobQuery;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.settings.CallerLimits;
import org.sesamepin.node.spi.PlatformStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The callers' calls for files and batch jobs, in the OpenAI style. */
public final class BatchApi {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final String FILES = "/v1/files";
    private static final String BATCHES = "/v1/batches";
    private static final String CONTENT = "/content";
    private static final long NOTICE_TIMEOUT_MS = 2_500;
    private static final int MAX_JSON_BYTES = 64 * 1024;
    private static final Duration LONGEST_WINDOW = Duration.ofDays(7);

    private final Vertx mVertx;
    private final PlatformStore mPlatformStore;
    private final JobStore mStore;
    private final JobService mJobs;
    private final FleetView mFleet;
    private final PeerClient mPeers;
    private final Authenticator mAuthenticator;
    private final RateLimiter mLimiter;
    private final CallerLimits mLimits;
    private final NodeMetrics mMetrics;

    /** Creates the calls. */
    public BatchApi(
            Vertx vertx,
            PlatformStore platformStore,
            JobStore store,
            JobService jobs,
            FleetView fleet,
            PeerClient peers,
            Authenticator authenticator,
            RateLimiter limiter,
            CallerLimits limits,
            NodeMetrics metrics) {
        mVertx = vertx;
        mPlatformStore = platformStore;
        mStore = store;
        mJobs = jobs;
        mFleet = fleet;
        mPeers = peers;
        mAuthenticator = authenticator;
        mLimiter = limiter;
        mLimits = limits;
        mMetrics = metrics;
    }

    /** Tells whether a path is one of these calls. */
    public static boolean handles(String path) {
        return path.equals(FILES)
                || path.startsWith(FILES + "/")
                || path.equals(BATCHES)
                || path.startsWith(BATCHES + "/");
    }

    /** Serves one request. */
    public void handle(HttpServerRequest request) {
        String id = UUID.randomUUID().toString();
        Context context = mVertx.getOrCreateContext();
        request.pause();
        Future<Void> served;
        try {
            CallerIdentity caller = mAuthenticator.identify(request);
            served =
                    Contexts.on(context, admit(caller))
                            .compose(v -> route(context, request, caller));
        } catch (Problem e) {
            served = Future.failedFuture(e);
        }
        served.onFailure(
                e -> {
                    Problem problem = Problem.of(e);
                    LOG.info(
                            "step={} request={} problem={} detail=\"{}\"",
                            problem.step().label(),
                            id,
                            problem.type().label(),
                            problem.getMessage());
                    if (problem.type() == ProblemType.INTERNAL) {
                        LOG.error("step={} request={}", problem.step().label(), id, e);
                    }
                    request.resume();
                    problem.send(request.response(), id);
                });
    }

    private Future<Void> admit(CallerIdentity caller) {
        Customer customer = caller.customer();
        if (customer == null) {
            return Future.succeededFuture();
        }
        return mLimiter.admit(customer, 1).compose(a -> admitted(customer, a));
    }

    private Future<Void> admitted(Customer customer, Admission admission) {
        if (admission.admitted()) {
            mMetrics.admitted(customer.name(), "batch");
            return Future.succeededFuture();
        }
        mMetrics.refused(customer.name(), ProblemType.RATE_EXCEEDED);
        return Future.failedFuture(admission.refusal(customer));
    }

    private Future<Void> route(Context context, HttpServerRequest request, CallerIdentity caller) {
        String path = request.path();
        boolean post = request.method().equals(HttpMethod.POST);
        boolean get = request.method().equals(HttpMethod.GET);
        if (path.equals(FILES) && post) {
            return upload(context, request, caller);
        }
        if (path.equals(BATCHES) && post) {
            return BodyReader.read(mVertx, request, MAX_JSON_BYTES, mLimits.readTimeoutMs())
                    .compose(body -> create(context, request, caller, body));
        }
        request.resume();
        if (path.equals(BATCHES) && get) {
            return list(context, request, caller);
        }
        String rest = path.substring(path.indexOf('/', 1) + 1);
        String[] parts = rest.split("/", -1);
        if (path.startsWith(BATCHES + "/") && parts.length == 2 && get) {
            return own(context, caller, parts[1]).compose(j -> answerJob(context, request, j));
        }
        boolean cancel = parts.length == 3 && parts[2].equals("cancel") && post;
        if (path.startsWith(BATCHES + "/") && cancel) {
            return own(context, caller, parts[1]).compose(j -> cancel(context, request, caller, j));
        }
        if (path.startsWith(FILES + "/") && path.endsWith(CONTENT) && get) {
            return content(context, request, caller, parts[1]);
        }
        if (path.startsWith(FILES + "/") && parts.length == 2 && get) {
            return ownFile(context, caller, parts[1]).map(f -> answer(request, CallerJson.file(f)));
        }
        return Future.failedFuture(notFound("no such call"));
    }

    private Future<Void> upload(Context context, HttpServerRequest request, CallerIdentity caller) {
        FileUpload upload =
                new FileUpload(context, mPlatformStore, request, caller, mLimits.maxItems());
        return BodyReader.stream(
                        mVertx,
                        request,
                        mLimits.maxFileBytes(),
                        mLimits.readTimeoutMs(),
                        upload::accept)
                .compose(v -> Contexts.on(context, upload.finish()))
                .map(file -> answer(request, CallerJson.file(file)));
    }

    private Future<Void> create(
            Context context, HttpServerRequest request, CallerIdentity caller, Buffer body) {
        JsonObject call;
        Duration window;
        try {
            call = body.toJsonObject();
            window = window(call.getValue("completion_window"));
        } catch (DecodeException | ClassCastException e) {
            return Future.failedFuture(malformed("not a JSON object"));
        } catch (Problem e) {
            return Future.failedFuture(e);
        }
        if (!(call.getValue("input_file_id") instanceof String fileId)) {
            return Future.failedFuture(malformed("input_file_id is missing"));
        }
        String key = request.getHeader("Idempotency-Key");
        return ownFile(context, caller, fileId)
                .compose(file -> create(context, file, key, call.getValue("endpoint"), window))
                .compose(
                        record -> {
                            LOG.info(
                                    "step=admit job={} customer={} items={} accepted=true",
                                    record.id(),
                                    record.customer(),
                                    record.items());
                            notifyOwner(record.id());
                            return answerJob(context, request, record);
                        });
    }

    private Future<JobRecord> create(
            Context context,
            FileRecord file,
            @Nullable String key,
            @Nullable Object endpoint,
            Duration window) {
        if (endpoint != null && !endpoint.equals(file.endpoint())) {
            return Future.failedFuture(malformed("the file's lines call " + file.endpoint()));
        }
        long now = System.currentTimeMillis();
        JobRecord record =
                new JobRecord(
                        jobId(file, key),
                        file.customer(),
                        file.id(),
                        file.endpoint(),
                        file.model(),
                        file.items(),
                        now,
                        now + window.toMillis(),
                        JobStatus.IN_PROGRESS,
                        0,
                        0,
                        0);
        return Contexts.on(context, mStore.create(record));
    }

    /** A job sent again is the same job: by its idempotency key, else by its content. */
    private static String jobId(FileRecord file, @Nullable String key) {
        String same = key == null ? "content " + file.digest() : "key " + key;
        String text = file.customer() + "\n" + file.endpoint() + "\n" + same;
        byte[] digest = KeyDigest.sha256().digest(text.getBytes(StandardCharsets.UTF_8));
        return "batch-" + HexFormat.of().formatHex(digest, 0, 16);
    }

    private static Duration window(@Nullable Object text) throws Problem {
        if (text == null) {
            return Duration.ofDays(1);
        }
        try {
            Duration window =
                    Duration.parse("PT" + text.toString().toUpperCase(java.util.Locale.ROOT));
            if (!window.isNegative() && !window.isZero() && window.compareTo(LONGEST_WINDOW) <= 0) {
                return window;
            }
        } catch (DateTimeParseException e) {
            throw malformed("completion_window is written like 24h or 90m");
        }
        throw malformed("completion_window may be at most 168h");
    }

    private void notifyOwner(String jobId) {
        notice(jobId).onFailure(e -> LOG.info("step=peer-call job={} message=\"{}\"", jobId, e));
    }

    private Future<Void> notice(String jobId) {
        String owner = mFleet.ownerOf(JobService.ownerKey(jobId));
        if (mFleet.isSelf(owner)) {
            return mJobs.noticed(jobId);
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.succeededFuture();
        }
        PeerRequest request = PeerRequest.jobNotice(new JobNotice(jobId));
        return mPeers.call(address, request, NOTICE_TIMEOUT_MS).mapEmpty();
    }

    private Future<Void> cancel(
            Context context, HttpServerRequest request, CallerIdentity caller, JobRecord job) {
        if (job.status() != JobStatus.IN_PROGRESS) {
            return answerJob(context, request, job);
        }
        return Contexts.on(context, mStore.read(job.id()))
                .compose(
                        stored -> {
                            if (stored == null || stored.record().status() != job.status()) {
                                return Future.succeededFuture(false);
                            }
                            JobRecord cancelling = job.withStatus(JobStatus.CANCELLING, 0, 0, 0);
                            return Contexts.on(context, mStore.replace(stored, cancelling));
                        })
                .compose(replaced -> Contexts.on(context, notice(job.id()).otherwiseEmpty()))
                .compose(v -> own(context, caller, job.id()))
                .compose(after -> answerJob(context, request, after));
    }

    private Future<JobRecord> own(Context context, CallerIdentity caller, String jobId) {
        return Contexts.on(context, mStore.read(jobId))
                .compose(
                        stored -> {
                            boolean own =
                                    stored != null
                                            && stored.record()
                                                    .customer()
                                                    .equals(caller.customerName());
                            return stored == null || !own
                                    ? Future.failedFuture(notFound("no such job"))
                                    : Future.succeededFuture(stored.record());
                        });
    }

    private Future<FileRecord> ownFile(Context context, CallerIdentity caller, String fileId) {
        return Contexts.on(context, mStore.file(fileId))
                .compose(
                        file ->
                                file == null || !file.customer().equals(caller.customerName())
                                        ? Future.failedFuture(notFound("no such file"))
                                        : Future.succeededFuture(file));
    }

    private Future<Void> list(Context context, HttpServerRequest request, CallerIdentity caller) {
        return Contexts.on(context, mStore.openJobs())
                .compose(
                        ids -> {
                            List<Future<JobStore.@Nullable StoredJob>> jobs =
                                    ids.stream().map(mStore::read).toList();
                            return Contexts.on(context, Future.all(jobs));
                        })
                .map(
                        all -> {
                            JsonArray data = new JsonArray();
                            for (Object found : all.list()) {
                                boolean own =
                                        found instanceof JobStore.StoredJob job
                                                && job.record()
                                                        .customer()
                                                        .equals(caller.customerName());
                                if (own) {
                                    data.add(
                                            CallerJson.job(
                                                    ((JobStore.StoredJob) found).record(), null));
                                }
                            }
                            JsonObject list = new JsonObject().put("object", "list");
                            return answer(request, list.put("data", data));
                        });
    }

    private Future<Void> answerJob(Context context, HttpServerRequest request, JobRecord job) {
        if (job.status().isTerminal()) {
            answer(request, CallerJson.job(job, null));
            return Future.succeededFuture();
        }
        return Contexts.on(context, progress(job.id()))
                .otherwise((JsonObject) null)
                .map(progress -> answer(request, CallerJson.job(job, progress)));
    }

    private Future<@Nullable JsonObject> progress(String jobId) {
        String owner = mFleet.ownerOf(JobService.ownerKey(jobId));
        if (mFleet.isSelf(owner)) {
            return Future.succeededFuture(mJobs.progress(jobId));
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.succeededFuture(null);
        }
        PeerRequest request = PeerRequest.jobQuery(new JobQuery(jobId));
        return mPeers.call(address, request, NOTICE_TIMEOUT_MS)
                .map(
                        reply ->
                                reply.getJob().isOwner()
                                        ? new JsonObject(reply.getJob().getJson())
                                        : null);
    }

    private Future<Void> content(
            Context context, HttpServerRequest request, CallerIdentity caller, String fileId) {
        boolean output = fileId.startsWith(CallerJson.OUTPUT);
        boolean errors = fileId.startsWith(CallerJson.ERRORS);
        if (output || errors) {
            String jobId = fileId.substring(CallerJson.OUTPUT.length());
            return own(context, caller, jobId)
                    .compose(job -> Contexts.on(context, mStore.segmentKeys(jobId)))
                    .compose(
                            keys ->
                                    ValueSender.send(
                                            mStore,
                                            context,
                                            request,
                                            keys,
                                            value -> ValueSender.resultLines(value, errors)));
        }
        return ownFile(context, caller, fileId)
                .compose(
                        file -> {
                            List<String> keys =
                                    java.util.stream.IntStream.range(0, file.chunkStarts().size())
                                            .mapToObj(i -> StoreKeys.fileChunk(file.id(), i))
                                            .toList();
                            return ValueSender.send(
                                    mStore,
                                    context,
                                    request,
                                    keys,
                                    value -> Buffer.buffer(Compression.decompress(value)));
                        });
    }

    private static @Nullable Void answer(HttpServerRequest request, JsonObject body) {
        if (!request.response().closed()) {
            request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
        }
        return null;
    }

    private static Problem malformed(String detail) {
        return new Problem(ProblemType.MALFORMED_REQUEST, Step.READ_REQUEST, detail);
    }

    private static Problem notFound(String detail) {
        return new Problem(ProblemType.NOT_FOUND, Step.ROUTE, detail);
    }
}
