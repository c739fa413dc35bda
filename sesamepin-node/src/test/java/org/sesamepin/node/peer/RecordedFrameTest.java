package org.sesamepin.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.node.LogLines;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;
import org.sesamepin.node.peer.generated.ItemRunTime;
import org.sesamepin.node.peer.generated.JobNotice;
import org.sesamepin.node.peer.generated.PeerFrame;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PromptEvidence;
import org.sesamepin.node.peer.generated.PromptQuarantineEntry;
import org.sesamepin.node.peer.generated.PromptRun;

/** Answers frames that other builds sent, recorded as bytes of the compact protocol. */
class RecordedFrameTest {
    private static final int SOCKET_TIMEOUT_MS = 5_000;
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Evidence about a prompt, with a quarantine without {@code itemProbes}. */
    private static final String EVIDENCE =
            "160a1c0c281806686f73742d62191c180867656e6572617465180667302d314037191c19280861316232"
                    + "633364340830613062306330641700000000"
                    + "0000f03f0000191c1808"
                    + "67656e657261746518083565366637613862150600191c180867656e65726174651918086131"
                    + "6232633364341680f888cfc968168097d2cfc968"
                    + "00000000";

    /** A report with run times and a quarantine, without limits and confirmation. */
    private static final String REPORT =
            "160c1cdc1806686f73742d6216f6f988cfc968160811191c180674302d31403715061502001916221b01"
                    + "850867656e65726174650416880e19180674312d3240391b01870674302d314037"
                    + "00000000000039401b018c044a4f42531700000000000059401700000000000039"
                    + "4000191c180867656e657261746519180861316232633364341680f888cfc968168097d2cfc9"
                    + "6800000000";

    /** Frame 8 with the notice of a job. */
    private static final String NOTICE = "16101c9c18026a31000000";

    /** The same with a field 9 in the notice, and a field 15 in the frame. */
    private static final String NOTICE_WITH_FIELDS = "16101c9c18026a318802787900" + "00d80000";

    /** Frame 11 with a request of the kind 60. */
    private static final String UNKNOWN_REQUEST = "16161c0c7818017800" + "0000";

    private final Vertx mVertx = Vertx.vertx();
    private final PeerClient mClient = new PeerClient(mVertx);
    private PeerServer mServer;
    private int mPort;
    private volatile PeerRequest mReceived = new PeerRequest();

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            mPort = socket.getLocalPort();
        }
        mServer = new PeerServer(mVertx, new InetSocketAddress("127.0.0.1", mPort));
        for (PeerRequest._Fields kind :
                List.of(
                        PeerRequest._Fields.JOB_NOTICE,
                        PeerRequest._Fields.REPORT,
                        PeerRequest._Fields.PROMPT_EVIDENCE)) {
            mServer.registerHandler(kind, this::answer);
        }
        await(mServer.start());
    }

    @AfterEach
    void close() throws Exception {
        mClient.close();
        mServer.close();
        mVertx.close();
    }

    private Future<PeerReply> answer(PeerRequest request) {
        mReceived = request;
        return Future.succeededFuture(PeerReply.done(new Done()));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private Socket connect() throws Exception {
        Socket socket = new Socket("127.0.0.1", mPort);
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        return socket;
    }

    private static PeerFrame call(Socket socket, String hex) throws Exception {
        byte[] frame = HexFormat.of().parseHex(hex);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        PeerFrame reply = new PeerFrame();
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(reply, bytes);
        return reply;
    }

    private PeerFrame call(String hex) throws Exception {
        try (Socket socket = connect()) {
            return call(socket, hex);
        }
    }

    @Test
    void evidenceWithoutProbesIsReadAndAnswered() throws Exception {
        PeerFrame reply = call(EVIDENCE);
        assertEquals(5, reply.getCallId());
        assertTrue(reply.getReply().isSet(PeerReply._Fields.DONE));
        PromptEvidence evidence = mReceived.getPromptEvidence();
        assertEquals("host-b", evidence.getHost());
        assertEquals(
                new PromptRun(List.of("a1b2c3d4", "0a0b0c0d"), 1),
                evidence.getEnds().get(0).getRuns().get(0));
        PromptQuarantineEntry entry = evidence.getQuarantine().get(0);
        assertEquals(List.of("a1b2c3d4"), entry.getParts());
        assertFalse(entry.isSetItemProbes());
    }

    @Test
    void reportWithoutLaterFieldsIsReadAndAnswered() throws Exception {
        PeerFrame reply = call(REPORT);
        assertEquals(6, reply.getCallId());
        HostReport report = mReceived.getReport();
        assertEquals(List.of(new InFlight("t0-1@7", 3, 1)), report.getInFlight());
        assertEquals(Map.of("JOBS", new ItemRunTime(100, 25)), report.getItemRunTimes());
        assertEquals(1, report.getPromptQuarantine().size());
        assertNull(report.getTargetLimits());
        assertNull(report.getConfigConfirmation());
    }

    @ParameterizedTest
    @ValueSource(strings = {NOTICE, NOTICE_WITH_FIELDS})
    void unknownFieldsArePassedOver(String frame) throws Exception {
        PeerFrame reply = call(frame);
        assertEquals(8, reply.getCallId());
        assertTrue(reply.getReply().isSet(PeerReply._Fields.DONE));
        assertEquals("j1", mReceived.getJobNotice().getJobId());
    }

    @Test
    void unknownRequestIsRefusedAndTheConnectionKept() throws Exception {
        try (Socket socket = connect()) {
            PeerFrame reply = call(socket, UNKNOWN_REQUEST);
            assertEquals(11, reply.getCallId());
            assertTrue(reply.getReply().isSet(PeerReply._Fields.FAILURE));
            assertTrue(call(socket, NOTICE).getReply().isSet(PeerReply._Fields.DONE));
        }
    }

    /** Guards against a frame that cannot be decoded and costs more than its connection. */
    @ParameterizedTest
    @ValueSource(strings = {"ffffffff", "16101c9c18ffff03"})
    void unreadableFrameCostsItsConnectionOnly(String frame) throws Exception {
        try (Socket other = connect()) {
            assertThrows(IOException.class, () -> call(frame));
            assertTrue(call(other, NOTICE).getReply().isSet(PeerReply._Fields.DONE));
        }
    }

    /** Guards against a build whose frames end connections and nobody learns which one it is. */
    @Test
    void unreadableFrameIsLoggedOnceWithItsSender() throws Exception {
        try (LogLines log = new LogLines();
                Socket socket = connect()) {
            assertThrows(IOException.class, () -> call(socket, "ffffffff"));
            assertEquals(1, log.all().size(), log.all().toString());
            String line = log.all().get(0);
            assertTrue(line.contains("127.0.0.1:" + socket.getLocalPort()), line);
        }
    }

    /** A reply of an unknown kind, or none at all, ends the call of the request only. */
    @ParameterizedTest
    @ValueSource(strings = {"16022c0c781801780000" + "00", "160200"})
    void callWithAnUnknownReplyEnds(String frame) throws Exception {
        byte[] bytes = HexFormat.of().parseHex(frame);
        Buffer reply = Buffer.buffer().appendInt(bytes.length).appendBytes(bytes);
        NetServer server =
                await(
                        mVertx.createNetServer()
                                .connectHandler(socket -> socket.handler(r -> socket.write(reply)))
                                .listen(0, "127.0.0.1"));
        Future<PeerReply> call =
                mClient.call(
                        "127.0.0.1:" + server.actualPort(),
                        PeerRequest.jobNotice(new JobNotice("j1")),
                        CALL_TIMEOUT_MS);
        try {
            assertNull(await(call).getSetField());
        } catch (ExecutionException e) {
            assertTrue(call.failed(), e.toString());
        }
    }
}
