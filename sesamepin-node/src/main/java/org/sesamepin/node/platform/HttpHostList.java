package org.sesamepin.node.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.spi.HostList;

/**
 * Client of a host list that is served over HTTP as JSON: {@code
 * {"hosts":[{"host":..,"state":..}]}}.
 */
final class HttpHostList implements HostList {
    private final HttpClientAgent mClient;
    private final InetSocketAddress mAddress;
    private final String mServerName;
    private final long mTimeoutMs;

    HttpHostList(Vertx vertx, String address, long timeoutMs) {
        mAddress = PropertyDescriptor.parseAddress(address);
        mServerName = address;
        mTimeoutMs = timeoutMs;
        mClient =
                vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) timeoutMs));
    }

    @Override
    public Future<Map<String, State>> read() {
        return mClient.request(
                        HttpMethod.GET, mAddress.getPort(), mAddress.getHostString(), "/hosts")
                .compose(request -> request.send().compose(r -> r.body()))
                .timeout(mTimeoutMs, TimeUnit.MILLISECONDS)
                .map(body -> parse(body.toJsonObject()))
                .recover(
                        e ->
                                Future.failedFuture(
                                        new SesamepinException(
                                                Step.STORE_READ,
                                                mServerName,
                                                "cannot read the host list: " + e)));
    }

    private static Map<String, State> parse(JsonObject json) {
        Map<String, State> states = new TreeMap<>();
        JsonArray hosts = json.getJsonArray("hosts", new JsonArray());
        for (int i = 0; i < hosts.size(); i++) {
            JsonObject host = hosts.getJsonObject(i);
            boolean leaving = "leaving".equals(host.getString("state"));
            states.put(host.getString("host"), leaving ? State.LEAVING : State.LIVE);
        }
        return states;
    }

    @Override
    public void close() {
        mClient.close();
    }
}
