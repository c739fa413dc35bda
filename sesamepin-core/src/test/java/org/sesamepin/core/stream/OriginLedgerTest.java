package org.sesamepin.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.TargetSoftware;

/** Tests what one host states and records. */
class OriginLedgerTest {
    private static final long DELAY = 8;
    private static final Retention RETENTION = new Retention(10, 100, DELAY);
    private static final TargetSoftware OLD = new TargetSoftware("s", "v1");
    private static final TargetSoftware NEW = new TargetSoftware("s", "v1.1");
    private static final TargetSoftware OTHER = new TargetSoftware("other", "v1.1");

    private static final List<Set<String>> GROUPS = List.of(Set.of("s"), Set.of("other"));

    private final OriginLedger mLedger =
            new OriginLedger(new RecordJournal(n -> "b" + n, 1), 1_000);

    private static long key(String id) {
        return StreamKey.of("c", id);
    }

    private static TakeUp takeUp(String service, String id) {
        return new TakeUp(id, "c", List.of(service));
    }

    private void list(TargetSoftware... versions) {
        StoredOrigins stored = new StoredOrigins();
        List.of(versions).forEach(version -> stored.addStatement(version, 1));
        mLedger.observeStored(stored, 0, RETENTION);
    }

    @Test
    void statesEachVersionOnceBeforeItsStreamsBegin() {
        list();
        assertEquals(List.of(OLD), mLedger.observeTargets(GROUPS, Set.of(OLD), 0, RETENTION));
        assertEquals(
                OriginLedger.Begin.AWAIT_STATEMENT, mLedger.begin(key("a"), OLD, 1, RETENTION));
        mLedger.recordStated(OLD, 1, 2);
        assertEquals(OriginLedger.Begin.FORWARD, mLedger.begin(key("a"), OLD, 3, RETENTION));
        assertEquals(List.of(), mLedger.observeTargets(GROUPS, Set.of(OLD), 4, RETENTION));
    }

    @Test
    void recordsNothingWhileOneVersionIsInUse() {
        list(OLD);
        mLedger.observeTargets(GROUPS, Set.of(OLD, OTHER), 0, RETENTION);
        mLedger.begin(key("a"), OLD, 1, RETENTION);
        assertEquals(0, mLedger.journal().pending());
    }

    /** Streams that began before a release may break off after it. */
    @Test
    void recordsEarlierStreamsWhenASecondVersionComes() {
        list(OLD);
        mLedger.observeTargets(GROUPS, Set.of(OLD), 0, RETENTION);
        mLedger.begin(key("a"), OLD, 1, RETENTION);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 2, RETENTION);
        assertEquals(1, mLedger.journal().pending());
        mLedger.begin(key("b"), NEW, 3, RETENTION);
        assertEquals(2, mLedger.journal().pending());
    }

    /** After all hosts were killed, the streams of a version without targets still matter. */
    @Test
    void recordsWhileTheStoreNamesAVersionWithoutTargets() {
        mLedger.begin(key("a"), NEW, 0, RETENTION);
        assertEquals(1, mLedger.journal().pending(), "the store was not read yet");
        list(OLD, NEW);
        mLedger.observeTargets(GROUPS, Set.of(NEW), 1, RETENTION);
        mLedger.begin(key("b"), NEW, 1, RETENTION);
        assertEquals(2, mLedger.journal().pending());
    }

    @Test
    void statesAVersionAnewThatWasGoneForLong() {
        list();
        mLedger.observeTargets(GROUPS, Set.of(OLD), 0, RETENTION);
        mLedger.recordStated(OLD, 1, 0);
        mLedger.observeTargets(GROUPS, Set.of(), 10, RETENTION);
        assertEquals(List.of(), mLedger.observeTargets(GROUPS, Set.of(OLD), 20, RETENTION));
        mLedger.observeTargets(GROUPS, Set.of(), 30, RETENTION);
        assertEquals(OriginLedger.Begin.FORWARD, mLedger.begin(key("a"), OLD, 60, RETENTION));
        assertEquals(
                OriginLedger.Begin.AWAIT_STATEMENT, mLedger.begin(key("b"), OLD, 90, RETENTION));
        assertEquals(List.of(OLD), mLedger.observeTargets(GROUPS, Set.of(OLD), 91, RETENTION));
    }

    /** Guards against streams of other hosts that are refused, since they had no time to record. */
    @Test
    void furtherVersionIsStatedAfterADelayAndItsStreamsAreRecordedFirst() {
        list(OLD);
        mLedger.observeTargets(GROUPS, Set.of(OLD), 0, RETENTION);
        mLedger.recordStated(OLD, 1, 0);
        assertEquals(List.of(), mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 1, RETENTION));
        assertEquals(OriginLedger.Begin.AWAIT_RECORD, mLedger.begin(key("a"), NEW, 2, RETENTION));
        assertTrue(mLedger.journal().isPending(key("a")));
        assertFalse(mLedger.mayRemoveRecords());
        assertEquals(OriginLedger.Begin.FORWARD, mLedger.begin(key("b"), OLD, 2, RETENTION));
        assertEquals(List.of(), mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 8, RETENTION));
        assertEquals(List.of(NEW), mLedger.observeTargets(GROUPS, Set.of(OLD), 9, RETENTION));
        mLedger.recordStated(NEW, 2, 9);
        assertEquals(OriginLedger.Begin.FORWARD, mLedger.begin(key("c"), NEW, 9, RETENTION));
        assertTrue(mLedger.mayRemoveRecords());
    }

    /** Guards against a record that is given up with the call that was the first to wait for it. */
    @Test
    void awaitedRecordIsKeptWhenAnEventIsForwardedWithoutIt() {
        list(OLD);
        mLedger.recordStated(OLD, 1, 0);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 0, RETENTION);
        assertEquals(OriginLedger.Begin.AWAIT_RECORD, mLedger.begin(key("a"), NEW, 1, RETENTION));
        assertEquals(OriginLedger.Begin.AWAIT_RECORD, mLedger.begin(key("b"), NEW, 1, RETENTION));
        mLedger.recordStated(NEW, 2, 2);
        assertEquals(OriginLedger.Begin.FORWARD, mLedger.begin(key("a"), NEW, 2, RETENTION));
        mLedger.journal().withdraw(key("a"));
        mLedger.journal().withdraw(key("b"));
        assertTrue(mLedger.journal().isPending(key("a")));
        assertFalse(mLedger.journal().isPending(key("b")));
    }

    /** Guards against a statement that is written for ever, and so never removed. */
    @Test
    void versionThatIsGoneIsNotStatedAgain() {
        furtherVersionIsStatedAfterADelayAndItsStreamsAreRecordedFirst();
        list(OLD);
        assertEquals(List.of(), mLedger.observeTargets(GROUPS, Set.of(OLD), 500, RETENTION));
    }

    /** Guards against a version that is stated at once, since it was there for a moment before. */
    @Test
    void furtherVersionThatGoesUnusedAndReturnsIsStatedAfterADelay() {
        list(OLD);
        mLedger.recordStated(OLD, 1, 0);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 1, RETENTION);
        mLedger.observeTargets(GROUPS, Set.of(OLD), 2, RETENTION);
        assertEquals(List.of(), mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 20, RETENTION));
        assertEquals(List.of(NEW), mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 28, RETENTION));
    }

    /** Another host may have stated it, or begun streams at it that wait for no record. */
    @Test
    void furtherVersionThatTheStoreNamesIsStatedAtOnce() {
        list(OLD, NEW);
        mLedger.recordStated(OLD, 1, 0);
        assertEquals(List.of(NEW), mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 1, RETENTION));
    }

    /** Guards against a host that takes a target for what ran under its id before. */
    @Test
    void versionUnderAnIdOfAnotherOneIsStatedAtOnce() {
        list(OLD);
        mLedger.observeTargets(GROUPS, Set.of(OLD), 0, RETENTION);
        mLedger.recordStated(OLD, 1, 0);
        TargetNames names = new TargetNames(10);
        assertTrue(names.observe("t1", OLD).isEmpty());
        assertTrue(names.observe("t1", OLD).isEmpty());
        names.observe("t1", NEW).ifPresent(version -> mLedger.observeReplacing(version, 1));
        assertEquals(List.of(NEW), mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 1, RETENTION));
    }

    @Test
    void removesAStatementOnlyLongAfterItsLastTarget() {
        list(OLD, NEW);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 0, RETENTION);
        mLedger.observeTargets(GROUPS, Set.of(NEW), 50, RETENTION);
        assertEquals(List.of(), mLedger.removable(149, RETENTION));
        assertEquals(List.of(OLD), mLedger.removable(150, RETENTION));
    }

    /** Guards against the removal of a statement that another host has just written anew. */
    @Test
    void keepsAStatementThatAnotherHostWroteMeanwhile() {
        list(OLD, NEW);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 0, RETENTION);
        mLedger.observeTargets(GROUPS, Set.of(NEW), 50, RETENTION);
        StoredOrigins later = new StoredOrigins();
        later.addStatement(OLD, 2);
        later.addStatement(NEW, 1);
        mLedger.observeStored(later, 149, RETENTION);
        assertEquals(List.of(), mLedger.removable(198, RETENTION));
        assertEquals(List.of(OLD), mLedger.removable(199, RETENTION));
    }

    @Test
    void idThatBeganStreamsOfTwoVersionsNamesNeither() {
        list(OLD, NEW);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 0, RETENTION);
        mLedger.begin(key("a"), OLD, 1, RETENTION);
        mLedger.begin(key("a"), NEW, 2, RETENTION);
        assertEquals(Finding.unknown(Finding.Source.AMBIGUOUS), mLedger.findOwn(takeUp("s", "a")));
        assertNull(mLedger.findOwn(takeUp("s", "b")));
    }

    @Test
    void streamOfAnotherCustomerOrServiceIsNotFound() {
        list(OLD, NEW);
        mLedger.observeTargets(GROUPS, Set.of(OLD, NEW), 0, RETENTION);
        mLedger.begin(key("a"), OLD, 1, RETENTION);
        assertEquals(new Finding(OLD, Finding.Source.HOST), mLedger.findOwn(takeUp("s", "a")));
        assertNull(mLedger.findOwn(new TakeUp("a", "d", List.of("s"))));
        assertNull(mLedger.findOwn(new TakeUp("a", null, List.of("s"))));
        assertNull(mLedger.findOwn(new TakeUp(null, "c", List.of("s"))));
        assertEquals(
                Finding.unknown(Finding.Source.OTHER_SERVICE),
                mLedger.findOwn(takeUp("other", "a")));
    }

    /** A stream without a record may have begun at any service of its route. */
    @Test
    void recordsStreamsOfARouteWithSeveralServices() {
        list(OLD, OTHER);
        List<Set<String>> groups = List.of(Set.of("s", "other"));
        mLedger.observeTargets(groups, Set.of(OLD, OTHER), 0, RETENTION);
        mLedger.begin(key("a"), OLD, 1, RETENTION);
        assertEquals(1, mLedger.journal().pending());
    }

    @Test
    void knowsTheOnlyVersionOfEachService() {
        StoredOrigins stored = new StoredOrigins();
        stored.addStatement(NEW, 1);
        stored.addStatement(OTHER, 1);
        Finding only = new Finding(NEW, Finding.Source.ONLY_VERSION);
        assertEquals(only, Finding.ofStored(takeUp("s", "a"), stored));
        TakeUp both = new TakeUp("a", "c", List.of("s", "other"));
        Finding unknown = Finding.unknown(Finding.Source.NO_RECORD);
        assertEquals(unknown, Finding.ofStored(both, stored));
        stored.addStatement(OLD, 1);
        assertEquals(unknown, Finding.ofStored(takeUp("s", "a"), stored));
        assertEquals(OTHER, Finding.ofStored(takeUp("other", "a"), stored).software());
        assertEquals(unknown, Finding.ofStored(takeUp("third", "a"), stored));
        stored.addRecord(new StreamRecord(key("a"), OLD));
        assertEquals(
                new Finding(OLD, Finding.Source.RECORD),
                Finding.ofStored(takeUp("s", "a"), stored));
        stored.addRecord(new StreamRecord(key("a"), NEW));
        assertEquals(
                Finding.unknown(Finding.Source.AMBIGUOUS),
                Finding.ofStored(takeUp("s", "a"), stored));
    }
}
