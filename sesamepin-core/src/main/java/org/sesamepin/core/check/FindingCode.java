package org.sesamepin.core.check;

import java.util.Locale;

/** Kinds of findings. */
public enum FindingCode {
    /** A value or the whole file cannot be decoded, or a required value is missing. */
    INVALID(Severity.ERROR),
    /** A number is below the least one that has a meaning. */
    OUT_OF_RANGE(Severity.ERROR),
    /** Two entries of the same type have the same name. */
    DUPLICATE_NAME(Severity.ERROR),
    /** Every request of the route matches another route, which takes precedence. */
    ROUTE_HIDDEN(Severity.ERROR),
    /** No request can match the route. */
    ROUTE_UNMATCHABLE(Severity.ERROR),
    /** A route sends requests to a service that is not configured. */
    UNKNOWN_SERVICE(Severity.ERROR),
    /** None of the services of a route has a positive weight. */
    NO_WEIGHT(Severity.ERROR),
    /** Two customers hold the same key. */
    KEY_SHARED(Severity.ERROR),
    /** The burst of a limited customer is smaller than one admission. */
    BURST_TOO_SMALL(Severity.ERROR),
    /** The version does not follow the one in force, so that hosts do not take it. */
    VERSION_NOT_NEWER(Severity.ERROR),
    /** A field has a name that is unknown, but close to a known one. */
    UNKNOWN_FIELD(Severity.WARNING),
    /** A value has no effect because of another one. */
    VALUE_IGNORED(Severity.WARNING),
    /** A path has a character that looks like a pattern, and is taken literally. */
    PATH_LITERAL(Severity.WARNING),
    /** No route and no model name leads to the service. */
    SERVICE_UNUSED(Severity.WARNING),
    /** The model or service has no target that takes new requests. */
    NO_TARGETS(Severity.WARNING),
    /** Two targets have the same address, so that its slots are counted twice. */
    ADDRESS_SHARED(Severity.WARNING),
    /** No key is in force for the customer. */
    CUSTOMER_WITHOUT_KEY(Severity.WARNING),
    /** The same customer holds a key more than once. */
    KEY_REPEATED(Severity.WARNING),
    /** The rate is higher than all targets together can run. */
    RATE_OVER_CAPACITY(Severity.WARNING),
    /** A time is longer than the time that bounds it. */
    TIME_OVER_BOUND(Severity.WARNING),
    /** A priority or weight that is compared with no other. */
    PRIORITY_UNUSED(Severity.NOTE),
    /** How fast targets have to respond for all customers to get their rates. */
    RATE_TOTAL(Severity.NOTE),
    /** The entry is not in the version in force. */
    ADDED(Severity.NOTE),
    /** The entry is only in the version in force. */
    REMOVED(Severity.NOTE),
    /** The entry differs from the version in force. */
    CHANGED(Severity.NOTE),
    /** Nothing differs from the version in force, or no version is in force. */
    COMPARED(Severity.NOTE);

    private final Severity mSeverity;

    FindingCode(Severity severity) {
        mSeverity = severity;
    }

    /** Returns how serious a finding of this kind is. */
    public Severity severity() {
        return mSeverity;
    }

    /** Returns the name in reports, for example {@code route-hidden}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
