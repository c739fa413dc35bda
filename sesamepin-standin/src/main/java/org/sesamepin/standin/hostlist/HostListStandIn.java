package org.sesamepin.standin.hostlist;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import org.sesamepin.standin.StandInServer;

/**
 * Stand-in for the platform's list of live and leaving hosts. {@code GET /hosts} returns the list;
 * {@code PUT /hosts/NAME?state=live|leaving} and {@code DELETE /hosts/NAME} change it after the
 * configured lag, because the platform's list is out of date for some time as well.
 */
public final class HostListStandIn extends StandInServer {
    private final Map<String, String> mStateByHost = new TreeMap<>();
    private final long mLagMs;

    /** Creates an empty list in which a change becomes visible after {@code lagMs} milliseconds. */
    public HostListStandIn(Vertx vertx, InetSocketAddress address, long lagMs) {
        super(vertx, address);
        mLagMs = lagMs;
    }

    @Override
    protected void handle(HttpServerRequest request) {
        String path = request.path();
        if (path.equals("/hosts")) {
            respond(request, 200, toJson());
            return;
        }
        String name = path.substring(path.lastIndexOf('/') + 1);
        boolean delete = request.method().equals(HttpMethod.DELETE);
        String state = request.getParam("state", "live");
        Runnable change = () -> applyChange(name, delete ? "" : state);
        if (mLagMs == 0) {
            change.run();
        } else {
            mVertx.setTimer(mLagMs, t -> change.run());
        }
        respond(request, 200, new JsonObject());
    }

    private synchronized void applyChange(String name, String state) {
        if (state.isEmpty()) {
            mStateByHost.remove(name);
        } else {
            mStateByHost.put(name, state);
        }
    }

    private synchronized JsonObject toJson() {
        JsonArray hosts = new JsonArray();
        mStateByHost.forEach((n, s) -> hosts.add(new JsonObject().put("host", n).put("state", s)));
        return new JsonObject().put("hosts", hosts);
    }
}
