import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: the platform's store, engines, and nodes as separate processes that are
 * started with the command of the deploy file.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "ficu95.example";
    private static final long GRACE_MS = 8_000;

    /** A node, its addresses and its process. */
    final class Node {
        final String mName;
        final String mIp;
        final String mZone;
        final InetSocketAddress mFront;
        final InetSocketAddress mReady;
        final InetSocketAddress mStore;
        final Path mLog;
        private Process mProcess;

        private Node(String name, String ip, String zone) throws IOException {
            mName = name;
            mIp = ip;
            mZone = zone;
            mFront = new InetSocketAddress(ip, mPorts[0]);
            mReady = new InetSocketAddress(ip, mPorts[1]);
            mStore = new InetSocketAddress("127.0.0.1", Http.freePort("127.0.0.1"));
            mPlatform.listen(mStore, name);
            mLog = mFolder.resolve(name + ".log");
        }

        /** Starts the process. */
        void start() throws IOException {
            Path settings = mFolder.resolve(mName + ".conf");
            Files.writeString(settings, settings(this));
            ProcessBuilder builder = new ProcessBuilder(mCommand);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("SESAMEPIN_BOOT", settings.toString());
            builder.directory(mRepository);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
            mProcesses.add(mProcess);
        }

        boolean isAlive() {
            return mProcess.isAlive();
        }

        /** Returns how the process ended by itself. */
        int exitCode() {
            return mProcess.exitValue();
        }

        /** Sends SIGKILL and waits for the end. */
        void kill() throws InterruptedException {
            mProcess.destroyForcibly().waitFor();
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        }

        /** Waits until the process has ended. */
        void awaitEnd(long withinMs) throws Exception {
            if (!mProcess.waitFor(withinMs, TimeUnit.MILLISECONDS)) {
                throw new IOException(mName + " does not end");
            }
        }

        /** Waits until the node answers 200 to the balancer's question. */
        void awaitReady(long withinMs) throws Exception {
            long until = System.currentTimeMillis() + withinMs;
            while (System.currentTimeMillis() < until) {
                try {
                    String head = "Host: x\r\nConnection: close\r\n";
                    if (Http.call(mReady, "GET /-/readiness", head, new byte[0], 1_000).status()
                            == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                TimeUnit.MILLISECONDS.sleep(100);
            }
            throw new IOException(mName + " is not ready");
        }
    }

    final Path mFolder;
    final Platform mPlatform;
    final List<Node> mNodes = new ArrayList<>();
    final List<Engine> mEngines = new ArrayList<>();
    private final File mRepository;
    private final List<String> mCommand;
    private final List<Process> mProcesses = new ArrayList<>();
    private final int[] mPorts = new int[4];
    private final BufferedWriter mRecord;
    private final long mStartedAt = System.currentTimeMillis();
    private final Thread mHook = new Thread(this::endProcesses);

    Fleet(Path repository, Path record, int nodes) throws IOException {
        mRepository = repository.toFile();
        mFolder = Files.createTempDirectory("review");
        mCommand = command(repository);
        mRecord = Files.newBufferedWriter(record);
        Runtime.getRuntime().addShutdownHook(mHook);
        for (int i = 0; i < 3; i++) {
            mPorts[i] = Http.freePort("127.0.0.1");
        }
        // Two ports in a row for the nodes themselves.
        mPorts[3] = Math.min(60_000, Http.freePort("127.0.0.1"));
        mPlatform = new Platform();
        for (int i = 0; i < nodes; i++) {
            mNodes.add(new Node("front-" + (i + 1), "127.0.7." + (i + 1), "zone-" + (i % 3)));
        }
    }

    /** Returns the command of the role that serves callers. */
    private static List<String> command(Path repository) throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                        .split(" "));
            }
        }
        throw new IOException("the deploy file has no role");
    }

    private String settings(Node node) {
        StringBuilder seeds = new StringBuilder();
        for (Node other : mNodes.subList(0, Math.min(3, mNodes.size()))) {
            seeds.append(seeds.length() == 0 ? "" : ",").append(other.mIp + ":" + mPorts[2]);
        }
        return String.join(
                "\n",
                "nodeName=" + node.mName,
                "role=node",
                "machineClass=front",
                "serves=front,control",
                "ip=" + node.mIp,
                "zone=" + node.mZone,
                "region=r",
                "zones.zone-0=r",
                "zones.zone-1=r",
                "zones.zone-2=r",
                "listen.front=" + node.mIp + ":" + mPorts[0],
                "listen.ready=" + node.mIp + ":" + mPorts[1],
                "listen.control=" + node.mIp + ":" + mPorts[2],
                "portRange=" + mPorts[3] + "," + (mPorts[3] + 15),
                "seedNodes=" + seeds,
                "bootstrap=true",
                "tolerated=false",
                "limits.cpuShare=0.75",
                "limits.cpuCores=1",
                "limits.memoryMb=430",
                "limits.maxFds=4100",
                "limits.linkMbps=1000.0",
                "limits.diskMb=0",
                "discovery=platform",
                "entry=vip",
                "heartbeatMs=1200",
                "contracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,"
                        + "platform",
                "faultTolerance.machines=1",
                "faultTolerance.zones=0",
                "faultTolerance.regions=0",
                "bounds.seedLagS=3",
                "bounds.reuseAfterS=2",
                "bounds.stableWindowMs=3000",
                "bounds.ackMs=4000",
                "bounds.catchUpS=4.8",
                "bounds.drainMs=2000",
                "bounds.graceS=8",
                "bounds.lossSlackMs=200",
                "bounds.configApplyMs=2000",
                "bounds.rollbackSlackMs=250",
                "bounds.skewMaxMs=5000",
                "bounds.strictRevoke=false",
                "bounds.revokeMs=5000",
                "bounds.quotaWindowS=5",
                "bounds.quotaOverage=0.1",
                "bounds.quotaSlack=20",
                "bounds.recoveryS=12",
                "bounds.passMs=120",
                "bounds.againS=0",
                "bounds.finishS=18",
                "bounds.statusS=120",
                "bounds.cancelMs=3000",
                "bounds.settleMs=1000",
                "provider.address=" + node.mStore.getHostString() + ":" + node.mStore.getPort(),
                "provider.form=kv",
                "provider.writesPerS=400",
                "provider.readsPerS=2000",
                "provider.historyS=20",
                "provider.valueBytes=1048576",
                "provider.ttlMinMs=1000",
                "");
    }

    /** Adds an engine of the model service; {@link Engine#start} registers it. */
    Engine addEngine(int number, int slots) throws IOException {
        String ip = "127.0.8." + number;
        InetSocketAddress address = new InetSocketAddress(ip, Http.freePort(ip));
        Engine engine =
                new Engine(
                        mPlatform,
                        "i-" + Integer.toHexString(0x7f3a0000 + number),
                        "llm",
                        "zone-" + number % 3,
                        address,
                        slots);
        mEngines.add(engine);
        return engine;
    }

    /** Writes a line of the record, with the milliseconds since the start. */
    synchronized void record(String line) {
        try {
            mRecord.write((System.currentTimeMillis() - mStartedAt) + " ms " + line + "\n");
            mRecord.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void endProcesses() {
        mProcesses.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Process process : mProcesses) {
            process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS);
        }
        mRecord.close();
        if (System.getenv("KEEP") == null) {
            deleteFolder();
        }
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mFolder);
    }
}
