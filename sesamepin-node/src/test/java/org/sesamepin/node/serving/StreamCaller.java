package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * A caller of streams that reads which version wrote each event, can leave in the middle of a
 * stream, and takes it up again. Confined to one event loop.
 */
final class StreamCaller {
    /**
     * What a caller got in one answer.
     *
     * @param id id of the request
     * @param status status of the answer; 0 when none arrived
     * @param problem label of the problem; empty for none
     * @param versions version that wrote each event
     * @param ended whether the answer is complete
     * @param ms time from the request to the end of the answer, milliseconds
     */
    record Answer(
            String id, int status, String problem, List<String> versions, boolean ended, long ms) {
        /** Returns whether events of several versions are in the answer. */
        boolean isJoined() {
            return new HashSet<>(versions).size() > 1;
        }

        /** Returns whether the answer is complete, with all events of a stream. */
        boolean isWhole() {
            return ended && versions.size() == StandInTargets.EVENTS;
        }

        boolean beganAt(String version) {
            return !versions.isEmpty() && versions.get(0).equals(version);
        }

        /** Returns the stream of this answer and the one that took it up. */
        Answer with(Answer next) {
            List<String> all = new ArrayList<>(versions);
            all.addAll(next.versions);
            return new Answer(id, next.status, next.problem, all, next.ended, next.ms);
        }
    }

    private static final String DATA_FIELD = "data: ";
    private static final int TO_THE_END = Integer.MAX_VALUE;

    private final HttpClient mClient;

    StreamCaller(Vertx vertx) {
        this(vertx, PoolOptions.DEFAULT_MAX_POOL_SIZE);
    }

    /** Creates a caller with a number of connections to a host; further calls wait for one. */
    StreamCaller(Vertx vertx, int connections) {
        mClient = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(connections));
    }

    /** Reads a stream to its end. */
    Future<Answer> read(int port, String id) {
        return send(port, id, List.of(), TO_THE_END);
    }

    /** Reads a stream and closes the connection after a number of events. */
    Future<Answer> readSome(int port, String id, int events) {
        return send(port, id, List.of(), events);
    }

    /** Takes a stream up after some events and reads it to its end. */
    Future<Answer> takeUp(int port, String id, List<String> resumes, int after) {
        List<String> headers = new ArrayList<>(List.of("After", Integer.toString(after)));
        resumes.forEach(name -> headers.addAll(List.of("Resumes", name)));
        return send(port, id, headers, TO_THE_END);
    }

    private Future<Answer> send(int port, String id, List<String> headers, int maxEvents) {
        long sentAt = System.nanoTime();
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .setURI("/x");
        return mClient.request(options)
                .compose(
                        request -> {
                            request.putHeader("Id", id);
                            for (int i = 0; i < headers.size(); i += 2) {
                                request.headers().add(headers.get(i), headers.get(i + 1));
                            }
                            return request.send("{\"id\":\"" + id + "\"}")
                                    .compose(r -> receive(id, request, r, maxEvents, sentAt));
                        })
                .otherwise(e -> new Answer(id, 0, "", List.of(), false, msSince(sentAt)));
    }

    private static Future<Answer> receive(
            String id,
            HttpClientRequest request,
            HttpClientResponse response,
            int maxEvents,
            long sentAt) {
        Promise<Answer> done = Promise.promise();
        Buffer body = Buffer.buffer();
        String problem = Objects.requireNonNullElse(response.getHeader("Problem"), "");
        response.exceptionHandler(
                e ->
                        done.tryComplete(
                                new Answer(
                                        id,
                                        response.statusCode(),
                                        problem,
                                        versions(body),
                                        false,
                                        msSince(sentAt))));
        response.endHandler(
                v ->
                        done.tryComplete(
                                new Answer(
                                        id,
                                        response.statusCode(),
                                        problem,
                                        versions(body),
                                        true,
                                        msSince(sentAt))));
        response.handler(
                part -> {
                    body.appendBuffer(part);
                    if (versions(body).size() >= maxEvents) {
                        request.connection().close();
                    }
                });
        return done.future();
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static List<String> versions(Buffer body) {
        List<String> versions = new ArrayList<>();
        for (String event : body.toString().split("\n\n")) {
            int data = event.indexOf(DATA_FIELD);
            if (data >= 0) {
                versions.add(event.substring(data + DATA_FIELD.length()));
            }
        }
        return versions;
    }
}
