package org.sesamepin.node.prompt;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.node.LogLines;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.peer.generated.PromptQuarantineEntry;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreTransaction;

/** Reads quarantines that other builds wrote to the store or told their peers. */
class RecordedQuarantineTest {
    private static final Suspect SUSPECT = new Suspect("generate", Set.of("a1b2c3d4"));
    private static final String KEY = ServingKeys.promptQuarantinePrefix() + "generate/a1b2c3d4";
    private static final long SINCE_MS = 1_796_587_200_000L;
    private static final long UNTIL_MS = 1_796_587_800_000L;
    private static final long NEXT_PROBE_MS = 1_796_587_231_250L;

    /** Failures from which on a part counts as certain to end targets. */
    private static final int CERTAIN_FAILURES = 3;

    /** An unreadable value is quoted in the log up to a limit. */
    private static final int MAX_LINE_CHARS = 500;

    /** Wait of builds up to e40d628 after a claim, by the number of claims. */
    private static final long EARLIER_FIRST_WAIT_MS = 5_000;

    private static final double EARLIER_WAIT_FACTOR = 2.5;

    /** Time from the last end of a target to the last sound item, at most. */
    private static final long MAX_HOLD_MS = 18_000;

    /** Time in which a write would be tried again a few times. */
    private static final long WATCHED_MS = 3_500;

    /** Record of a build that stores no {@code failed_probes}, but for its closing brace. */
    private static final String RECORD =
            "{\"service\":\"generate\",\"parts\":[\"a1b2c3d4\"],\"since_ms\":1796587200000,"
                    + "\"until_ms\":1796587800000,\"item_claims\":2,"
                    + "\"next_item_probe_ms\":1796587231250";

    /** Message of a build without {@code itemProbes}, but for the end of the structure. */
    private static final String MESSAGE =
            "180867656e657261746519180861316232633364341680f888cfc968168097d2cfc968";

    private final Vertx mVertx = Vertx.vertx();
    private final MemoryStore mStore = new MemoryStore();
    private final List<PromptQuarantine.Entry> mRead = new ArrayList<>();
    private final LogLines mLog = new LogLines();
    private final PromptQuarantineStore mQuarantine =
            new PromptQuarantineStore(
                    mVertx,
                    new QuarantineStorage(ServingKeys.promptQuarantinePrefix(), mStore::commit),
                    mRead::add,
                    suspect -> {},
                    entry -> true);

    @AfterEach
    void close() {
        mLog.close();
        mVertx.close();
    }

    private static StoreEntry entry(String key, String value) {
        return new StoreEntry(key, value.getBytes(StandardCharsets.UTF_8), 5);
    }

    private void list(StoreEntry... entries) {
        mQuarantine.onListing(new StoreListing(5, List.of(entries)), false);
    }

    private static PromptQuarantine.Entry decode(String hex) throws Exception {
        PromptQuarantineEntry message = new PromptQuarantineEntry();
        byte[] bytes = HexFormat.of().parseHex(hex);
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
        return PromptMessages.decode(message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"}", ",\"build\":\"next\",\"trace\":{\"ends\":[1,{\"x\":null}]}}"})
    void recordWithoutFailuresOrWithUnknownFieldsIsRead(String end) {
        list(entry(KEY, RECORD + end));
        assertEquals(
                List.of(
                        new PromptQuarantine.Entry(
                                SUSPECT, SINCE_MS, UNTIL_MS, 2, 1, NEXT_PROBE_MS, "")),
                mRead);
        assertEquals(List.of(), mLog.all());
    }

    /** Guards against items that wait as for certain failures, on claims of another build. */
    @Test
    void claimsOfAnotherBuildAreNoCertainFailures() {
        list(entry(KEY, RECORD.replace("\"item_claims\":2", "\"item_claims\":40") + '}'));
        assertTrue(mRead.get(0).failedProbes() < CERTAIN_FAILURES, mRead.toString());
    }

    @Test
    void recordOfAnotherBuildKeepsWhatThisOneKnows() {
        PromptQuarantine quarantine = new PromptQuarantine();
        quarantine.add(
                new PromptQuarantine.Entry(
                        SUSPECT, SINCE_MS, UNTIL_MS, 3, 3, NEXT_PROBE_MS, "t@1"));
        list(entry(KEY, RECORD + '}'));
        assertFalse(quarantine.add(mRead.get(0)));
        assertEquals(3, requireNonNull(quarantine.get(SUSPECT)).failedProbes());
    }

    @ParameterizedTest
    @ValueSource(strings = {"not JSON", "[]", "{\"service\":\"generate\",\"parts\":7}", "{}"})
    void unreadableRecordCostsOneLineAndNoOtherRecord(String value) {
        String other = KEY + ":next";
        list(entry(other, value), entry(KEY, RECORD + '}'));
        assertEquals(SUSPECT, mRead.get(0).suspect());
        assertEquals(1, mLog.all().size(), mLog.all().toString());
        String line = mLog.all().get(0);
        assertTrue(line.contains(other) && line.contains("outcome=unusable"), line);
    }

    @Test
    void unreadableRecordIsQuotedUpToALimit() {
        list(entry(KEY, "x".repeat(100_000)));
        assertTrue(mLog.all().get(0).length() < MAX_LINE_CHARS);
    }

    /** Guards against a line a second while the store holds an unreadable record of the parts. */
    @Test
    void unreadableRecordOfTheSamePartsIsLoggedOnce() throws Exception {
        mVertx.runOnContext(
                v -> {
                    mStore.commit(new StoreTransaction().put(KEY, "{}"));
                    list(entry(KEY, "{}"));
                    mQuarantine.put(new PromptQuarantine.Entry(SUSPECT, SINCE_MS, UNTIL_MS));
                });
        Thread.sleep(WATCHED_MS);
        assertEquals(1, mLog.all().size(), mLog.all().toString());
    }

    /** Guards against a quarantine that is lost since its key had an unreadable record. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void entryIsStoredWhenTheUnreadableRecordIsGone(boolean listed) throws Exception {
        CompletableFuture<String> stored = new CompletableFuture<>();
        mVertx.runOnContext(
                v -> {
                    list(entry(KEY, "{}"));
                    mQuarantine.put(new PromptQuarantine.Entry(SUSPECT, SINCE_MS, UNTIL_MS));
                    boolean heldBack = mStore.textOf(KEY).isEmpty();
                    if (listed) {
                        list();
                    } else {
                        StoreChange removed = new StoreChange(KEY, null, 6);
                        mQuarantine.onChanges(new StoreChanges(6, List.of(removed), false), false);
                    }
                    stored.complete(heldBack + " " + mStore.textOf(KEY));
                });
        String text = stored.get(5, TimeUnit.SECONDS);
        assertTrue(text.startsWith("true {") && text.contains("a1b2c3d4"), text);
    }

    /** Guards against a line for each listing of the same record. */
    @Test
    void unreadableRecordIsLoggedOnceARevision() {
        list(entry(KEY, "{}"));
        list(entry(KEY, "{}"));
        assertEquals(1, mLog.all().size(), mLog.all().toString());
        list(new StoreEntry(KEY, "[]".getBytes(StandardCharsets.UTF_8), 6));
        assertEquals(2, mLog.all().size(), mLog.all().toString());
    }

    /** Guards against items that an earlier build holds since probes of this one said nothing. */
    @Test
    void probesThatSaidNothingHoldNoItemsAtEarlierBuilds() throws Exception {
        CompletableFuture<String> stored = new CompletableFuture<>();
        PromptQuarantine.Entry first = new PromptQuarantine.Entry(SUSPECT, SINCE_MS, UNTIL_MS);
        PromptQuarantine.Entry claimedTwice = first.withClaim(0).withClaim(0);
        mVertx.runOnContext(
                v -> {
                    mQuarantine.claim(claimedTwice);
                    stored.complete(mStore.textOf(KEY));
                });
        int claims = new JsonObject(stored.get(5, TimeUnit.SECONDS)).getInteger("item_claims");
        double waitMs = EARLIER_FIRST_WAIT_MS * Math.pow(EARLIER_WAIT_FACTOR, claims + 1);
        assertTrue(waitMs <= MAX_HOLD_MS, claims + " claims, " + waitMs + " ms after the next");
    }

    @ParameterizedTest
    @ValueSource(strings = {"00", "5803616263" + "00", "5c1806" + "7a7a7a7a7a7a" + "00" + "00"})
    void messageWithoutProbesOrWithUnknownFieldsIsRead(String end) throws Exception {
        assertEquals(
                new PromptQuarantine.Entry(SUSPECT, SINCE_MS, UNTIL_MS), decode(MESSAGE + end));
    }

    @Test
    void messageWithoutProbesKeepsTheProbesThatAreKnown() throws Exception {
        PromptQuarantine quarantine = new PromptQuarantine();
        PromptQuarantine.Entry known =
                new PromptQuarantine.Entry(SUSPECT, SINCE_MS, UNTIL_MS, 2, 1, NEXT_PROBE_MS, "t@1");
        quarantine.add(known);
        quarantine.add(decode(MESSAGE + "00"));
        assertEquals(known, quarantine.get(SUSPECT));
    }
}
