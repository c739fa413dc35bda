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
import org.sesamepin.node.http.BoundedJson;
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

/**
 * HTTP API for input files and batch jobs, in the style of the OpenAI batch API. Requests of a
 * customer count against its rate limit.
 */
public final class BatchApi {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final String FILES_PATH = "/v1/files";
    private static final String BATCHES_PATH = "/v1/batches";
    private static final String CONTENT_SUFFIX = "/content";
    private static final long OWNER_CALL_TIMEOUT_MS = 2_500;
    private static final int MAX_JOB_BODY_BYTES = 64 * 1024;
    private static final Duration MAX_COMPLETION_WINDOW = Duration.ofDays(7);

    private final Vertx mVertx;
    private final PlatformStore mPlatformStore;
    private final JobStore mJobStore;
    private final JobService mJobService;
    private final FleetView mFleet;
    private final PeerClient mPeers;
    private final Authenticator mAuthenticator;
    private final RateLimiter mRateLimiter;
    private final CallerLimits mCallerLimits;
    private final NodeMetrics mMetrics;

    /** Creates the API; {@code jobs} is the service for the jobs that this host owns. */
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
        mJobStore = store;
        mJobService = jobs;
        mFleet = fleet;
        mPeers = peers;
        mAuthenticator = authenticator;
        mRateLimiter = limiter;
        mCallerLimits = limits;
        mMetrics = metrics;
    }

    /** Returns true if this API serves the path. */
    public static boolean handles(String path) {
        return path.equals(FILES_PATH)
                || path.startsWith(FILES_PATH + "/")
                || path.equals(BATCHES_PATH)
                || path.startsWith(BATCHES_PATH + "/");
    }

    /** Handles one request: authenticates and rate-limits the caller, and sends the response. */
    public void handle(HttpServerRequest request) {
        String requestId = UUID.randomUUID().toString();
        Context context = mVertx.getOrCreateContext();
        request.pause();
        Future<Void> served;
        try {
            CallerIdentity caller = mAuthenticator.authenticate(request);
            served =
                    Contexts.completeOn(context, admitRequest(caller))
                            .compose(v -> routeRequest(context, request, caller));
        } catch (Problem e) {
            served = Future.failedFuture(e);
        }
        served.onFailure(
                e -> {
                    Problem problem = Problem.of(e);
                    LOG.info(
                            "step={} request={} problem={} detail=\"{}\"",
                            problem.step().label(),
                            requestId,
                            problem.type().label(),
                            problem.getMessage());
                    if (problem.type() == ProblemType.INTERNAL) {
                        LOG.error("step={} request={}", problem.step().label(), requestId, e);
                    }
                    request.resume();
                    problem.send(request.response(), requestId);
                });
    }

    private Future<Void> admitRequest(CallerIdentity caller) {
        Customer customer = caller.customer();
        if (customer == null) {
            return Future.succeededFuture();
        }
        return mRateLimiter
                .admit(customer, 1)
                .compose(admission -> checkAdmission(customer, admission));
    }

    private Future<Void> checkAdmission(Customer customer, Admission admission) {
        if (admission.admitted()) {
            mMetrics.countAdmitted(customer.name(), "batch");
            return Future.succeededFuture();
        }
        mMetrics.countRejected(customer.name(), ProblemType.RATE_EXCEEDED);
        return Future.failedFuture(admission.toProblem(customer));
    }

    private Future<Void> routeRequest(
            Context context, HttpServerRequest request, CallerIdentity caller) {
        String path = request.path();
        boolean isPost = request.method().equals(HttpMethod.POST);
        boolean isGet = request.method().equals(HttpMethod.GET);
        if (path.equals(FILES_PATH) && isPost) {
            return uploadFile(context, request, caller);
        }
        if (path.equals(BATCHES_PATH) && isPost) {
            return BodyReader.read(
                            mVertx, request, MAX_JOB_BODY_BYTES, mCallerLimits.readTimeoutMs())
                    .compose(body -> createJob(context, request, caller, body));
        }
        request.resume();
        if (path.equals(BATCHES_PATH) && isGet) {
            return listOpenJobs(context, request, caller);
        }
        String subPath = path.substring(path.indexOf('/', 1) + 1);
        String[] parts = subPath.split("/", -1);
        if (path.startsWith(BATCHES_PATH + "/") && parts.length == 2 && isGet) {
            return findCustomerJob(context, caller, parts[1])
                    .compose(job -> sendJob(context, request, job));
        }
        boolean isCancel = parts.length == 3 && parts[2].equals("cancel") && isPost;
        if (path.startsWith(BATCHES_PATH + "/") && isCancel) {
            return findCustomerJob(context, caller, parts[1])
                    .compose(job -> cancelJob(context, request, caller, job));
        }
        if (path.startsWith(FILES_PATH + "/") && path.endsWith(CONTENT_SUFFIX) && isGet) {
            return sendContent(context, request, caller, parts[1]);
        }
        if (path.startsWith(FILES_PATH + "/") && parts.length == 2 && isGet) {
            return findCustomerFile(context, caller, parts[1])
                    .map(file -> sendJson(request, CallerJson.encodeFile(file)));
        }
        return Future.failedFuture(notFound("no such endpoint"));
    }

    private Future<Void> uploadFile(
            Context context, HttpServerRequest request, CallerIdentity caller) {
        FileUpload upload =
                new FileUpload(context, mPlatformStore, request, caller, mCallerLimits.maxItems());
        return BodyReader.stream(
                        mVertx,
                        request,
                        mCallerLimits.maxFileBytes(),
                        mCallerLimits.readTimeoutMs(),
                        upload::accept,
                        upload::heldBytes)
                .compose(v -> Contexts.completeOn(context, upload.finish()))
                .map(file -> sendJson(request, CallerJson.encodeFile(file)));
    }

    private Future<Void> createJob(
            Context context, HttpServerRequest request, CallerIdentity caller, Buffer body) {
        JsonObject parameters;
        Duration window;
        try {
            parameters = BoundedJson.parseObject(body.toString());
            window = parseCompletionWindow(parameters.getValue("completion_window"));
        } catch (DecodeException | ClassCastException e) {
            return Future.failedFuture(malformedRequest("the body is not a JSON object"));
        } catch (Problem e) {
            return Future.failedFuture(e);
        }
        if (!(parameters.getValue("input_file_id") instanceof String fileId)) {
            return Future.failedFuture(malformedRequest("input_file_id is missing"));
        }
        String idempotencyKey = request.getHeader("Idempotency-Key");
        return findCustomerFile(context, caller, fileId)
                .compose(
                        file ->
                                createJob(
                                        context,
                                        file,
                                        idempotencyKey,
                                        parameters.getValue("endpoint"),
                                        window))
                .compose(
                        record -> {
                            LOG.info(
                                    "step=admit job={} customer={} items={} accepted=true",
                                    record.id(),
                                    record.customer(),
                                    record.items());
                            notifyOwner(record.id());
                            return sendJob(context, request, record);
                        });
    }

    private Future<JobRecord> createJob(
            Context context,
            FileRecord file,
            @Nullable String idempotencyKey,
            @Nullable Object endpoint,
            Duration window) {
        if (endpoint != null && !endpoint.equals(file.endpoint())) {
            return Future.failedFuture(
                    malformedRequest(
                            "endpoint differs from the url of the file's lines, "
                                    + file.endpoint()));
        }
        long nowMs = System.currentTimeMillis();
        JobRecord record =
                new JobRecord(
                        deriveJobId(file, idempotencyKey),
                        file.customer(),
                        file.id(),
                        file.endpoint(),
                        file.model(),
                        file.items(),
                        nowMs,
                        nowMs + window.toMillis(),
                        JobStatus.IN_PROGRESS,
                        0,
                        0,
                        0);
        return Contexts.completeOn(context, mJobStore.createJob(record));
    }

    /**
     * Derives the job id from the idempotency key, or from the content of the file if there is no
     * key, so that a repeated request finds the existing job instead of creating a second one.
     */
    private static String deriveJobId(FileRecord file, @Nullable String idempotencyKey) {
        String identity =
                idempotencyKey == null ? "content " + file.digest() : "key " + idempotencyKey;
        String text = file.customer() + "\n" + file.endpoint() + "\n" + identity;
        byte[] digest = KeyDigest.sha256().digest(text.getBytes(StandardCharsets.UTF_8));
        return "batch-" + HexFormat.of().formatHex(digest, 0, 16);
    }

    private static Duration parseCompletionWindow(@Nullable Object text) throws Problem {
        if (text == null) {
            return Duration.ofDays(1);
        }
        try {
            Duration window =
                    Duration.parse("PT" + text.toString().toUpperCase(java.util.Locale.ROOT));
            if (!window.isNegative()
                    && !window.isZero()
                    && window.compareTo(MAX_COMPLETION_WINDOW) <= 0) {
                return window;
            }
        } catch (DateTimeParseException e) {
            throw malformedRequest("completion_window must be a duration such as 24h or 90m");
        }
        throw malformedRequest("completion_window must be positive and at most 168h");
    }

    private void notifyOwner(String jobId) {
        sendJobNotice(jobId)
                .onFailure(e -> LOG.info("step=peer-call job={} message=\"{}\"", jobId, e));
    }

    private Future<Void> sendJobNotice(String jobId) {
        String owner = mFleet.ownerOf(JobService.ownerKey(jobId));
        if (mFleet.isSelf(owner)) {
            return mJobService.onJobNotice(jobId);
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.succeededFuture();
        }
        PeerRequest request = PeerRequest.jobNotice(new JobNotice(jobId));
        return mPeers.call(address, request, OWNER_CALL_TIMEOUT_MS).mapEmpty();
    }

    private Future<Void> cancelJob(
            Context context, HttpServerRequest request, CallerIdentity caller, JobRecord job) {
        if (job.status() != JobStatus.IN_PROGRESS) {
            return sendJob(context, request, job);
        }
        return Contexts.completeOn(context, mJobStore.readJob(job.id()))
                .compose(
                        stored -> {
                            if (stored == null || stored.record().status() != job.status()) {
                                return Future.succeededFuture(false);
                            }
                            JobRecord cancelling = job.withStatus(JobStatus.CANCELLING, 0, 0, 0);
                            return Contexts.completeOn(
                                    context, mJobStore.replaceRecord(stored, cancelling));
                        })
                .compose(
                        replaced ->
                                Contexts.completeOn(
                                        context, sendJobNotice(job.id()).otherwiseEmpty()))
                .compose(v -> findCustomerJob(context, caller, job.id()))
                .compose(updatedJob -> sendJob(context, request, updatedJob));
    }

    private Future<JobRecord> findCustomerJob(
            Context context, CallerIdentity caller, String jobId) {
        return Contexts.completeOn(context, mJobStore.readJob(jobId))
                .compose(
                        stored -> {
                            boolean ownedByCaller =
                                    stored != null
                                            && stored.record()
                                                    .customer()
                                                    .equals(caller.customerName());
                            return stored == null || !ownedByCaller
                                    ? Future.failedFuture(notFound("no such job"))
                                    : Future.succeededFuture(stored.record());
                        });
    }

    private Future<FileRecord> findCustomerFile(
            Context context, CallerIdentity caller, String fileId) {
        return Contexts.completeOn(context, mJobStore.readFileRecord(fileId))
                .compose(
                        file ->
                                file == null || !file.customer().equals(caller.customerName())
                                        ? Future.failedFuture(notFound("no such file"))
                                        : Future.succeededFuture(file));
    }

    private Future<Void> listOpenJobs(
            Context context, HttpServerRequest request, CallerIdentity caller) {
        return Contexts.completeOn(context, mJobStore.listOpenJobs())
                .compose(
                        ids -> {
                            List<Future<JobStore.@Nullable StoredJob>> storedJobs =
                                    ids.stream().map(mJobStore::readJob).toList();
                            return Contexts.completeOn(context, Future.all(storedJobs));
                        })
                .map(
                        all -> {
                            JsonArray data = new JsonArray();
                            for (Object storedJob : all.list()) {
                                boolean ownedByCaller =
                                        storedJob instanceof JobStore.StoredJob job
                                                && job.record()
                                                        .customer()
                                                        .equals(caller.customerName());
                                if (ownedByCaller) {
                                    data.add(
                                            CallerJson.encodeJob(
                                                    ((JobStore.StoredJob) storedJob).record(),
                                                    null));
                                }
                            }
                            JsonObject list = new JsonObject().put("object", "list");
                            return sendJson(request, list.put("data", data));
                        });
    }

    private Future<Void> sendJob(Context context, HttpServerRequest request, JobRecord job) {
        if (job.status().isTerminal()) {
            sendJson(request, CallerJson.encodeJob(job, null));
            return Future.succeededFuture();
        }
        return Contexts.completeOn(context, fetchProgress(job.id()))
                .otherwise((JsonObject) null)
                .map(progress -> sendJson(request, CallerJson.encodeJob(job, progress)));
    }

    private Future<@Nullable JsonObject> fetchProgress(String jobId) {
        String owner = mFleet.ownerOf(JobService.ownerKey(jobId));
        if (mFleet.isSelf(owner)) {
            return Future.succeededFuture(mJobService.findProgress(jobId));
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.succeededFuture(null);
        }
        PeerRequest request = PeerRequest.jobQuery(new JobQuery(jobId));
        return mPeers.call(address, request, OWNER_CALL_TIMEOUT_MS)
                .map(
                        reply ->
                                reply.getJob().isOwner()
                                        ? new JsonObject(reply.getJob().getJson())
                                        : null);
    }

    private Future<Void> sendContent(
            Context context, HttpServerRequest request, CallerIdentity caller, String fileId) {
        boolean isOutput = fileId.startsWith(CallerJson.OUTPUT_ID_PREFIX);
        boolean isErrors = fileId.startsWith(CallerJson.ERRORS_ID_PREFIX);
        if (isOutput || isErrors) {
            String jobId = fileId.substring(CallerJson.OUTPUT_ID_PREFIX.length());
            return findCustomerJob(context, caller, jobId)
                    .compose(job -> Contexts.completeOn(context, mJobStore.listSegmentKeys(jobId)))
                    .compose(
                            keys ->
                                    DownloadSender.send(
                                            mJobStore,
                                            context,
                                            request,
                                            keys,
                                            value ->
                                                    DownloadSender.decodeResultLines(
                                                            value, isErrors)));
        }
        return findCustomerFile(context, caller, fileId)
                .compose(
                        file -> {
                            List<String> keys =
                                    java.util.stream.IntStream.range(0, file.chunkStarts().size())
                                            .mapToObj(
                                                    chunk -> StoreKeys.fileChunk(file.id(), chunk))
                                            .toList();
                            return DownloadSender.send(
                                    mJobStore,
                                    context,
                                    request,
                                    keys,
                                    value -> Buffer.buffer(Compression.decompress(value)));
                        });
    }

    private static @Nullable Void sendJson(HttpServerRequest request, JsonObject body) {
        if (!request.response().closed()) {
            request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
        }
        return null;
    }

    private static Problem malformedRequest(String detail) {
        return new Problem(ProblemType.MALFORMED_REQUEST, Step.READ_REQUEST, detail);
    }

    private static Problem notFound(String detail) {
        return new Problem(ProblemType.NOT_FOUND, Step.ROUTE, detail);
    }
}
