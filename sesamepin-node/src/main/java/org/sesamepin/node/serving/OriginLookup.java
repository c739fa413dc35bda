package org.sesamepin.node.serving;

import io.vertx.core.Future;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Finds the software at which a stream that its caller takes up may go on: that of the stream's
 * origin or, when the origin is unknown, the only software that the targets of the route have had
 * since the stream can have begun.
 */
final class OriginLookup {
    private static final String ONLY_SOFTWARE = "only-version";

    private final ServingContext mContext;
    private final ServingRoute mRoute;
    private final @Nullable String mCustomer;

    OriginLookup(ServingContext context, ServingRoute route, @Nullable String customer) {
        mContext = context;
        mRoute = route;
        mCustomer = customer;
    }

    /**
     * Returns the origin of a stream; empty when it is unknown. Never fails.
     *
     * @param streamId id by which the caller names the stream; null when it names none
     */
    Future<Optional<StreamOrigins.Found>> find(@Nullable String streamId) {
        if (streamId == null) {
            return Future.succeededFuture(findOnlySoftware());
        }
        return mContext.streamOrigins()
                .find(streamId)
                .otherwise(Optional.empty())
                .map(found -> found.filter(this::isSuitable).or(this::findOnlySoftware));
    }

    /** Returns whether an origin is that of a stream of this customer and route. */
    private boolean isSuitable(StreamOrigins.Found found) {
        return Objects.equals(found.origin().customer(), mCustomer)
                && mRoute.sendsTo(found.origin().software().service());
    }

    private Optional<StreamOrigins.Found> findOnlySoftware() {
        List<String> services =
                mRoute.shares().stream()
                        .filter(share -> share.weight() > 0)
                        .map(ServiceShare::service)
                        .toList();
        long lifetimeMs = StreamLifetime.ofMs(mContext.state().config());
        TargetSoftware software =
                mContext.state().onlySoftware(services, TimeUnit.MILLISECONDS.toNanos(lifetimeMs));
        return Optional.ofNullable(software)
                .map(only -> new StreamOrigin(only, mCustomer))
                .map(origin -> new StreamOrigins.Found(origin, ONLY_SOFTWARE));
    }
}
