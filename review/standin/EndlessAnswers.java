import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One replica of three answers with bytes without end; do the nodes live, and are all answered? */
final class EndlessAnswers {
    private static final int CLIENTS = Integer.getInteger("clients", 24);

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Store store = new Store(record);
        Fleet.writeConfig(store);
        Engine[] engines = new Engine[3];
        for (int i = 0; i < engines.length; i++) {
            engines[i] = new Engine(store, record, "i-app-" + i, "app", 8);
            engines[i].plainMs = 40;
        }
        Fleet fleet = new Fleet(store, record, 2);
        fleet.awaitReady();
        AtomicInteger good = new AtomicInteger();
        Map<String, Integer> outcomes = new HashMap<>();
        CountDownLatch left = new CountDownLatch(CLIENTS);
        double start = record.seconds();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Http.start(() -> {
                for (int i = 0; record.seconds() - start < 20; i++) {
                    String id = "c" + client + "-" + i;
                    String outcome;
                    try {
                        Http.Message answer = Http.call(fleet.nodes.get(Boolean.getBoolean("one") ? 0 : client % 2).front, "POST", "/plain/x",
                                Fleet.headers(id, 1_500), "{}".getBytes(StandardCharsets.UTF_8), 14_000);
                        outcome = "status " + answer.status;
                        if (answer.status == 200 && !answer.text().equals("answer of " + id)) {
                            outcome = "wrong body";
                        }
                    } catch (IOException e) {
                        outcome = "no answer: " + e.getMessage();
                    }
                    synchronized (outcomes) {
                        outcomes.merge(outcome, 1, Integer::sum);
                    }
                    if (!outcome.equals("status 200")) {
                        record.line("client", id + " " + outcome);
                    }
                    Thread.sleep(20);
                }
                left.countDown();
            });
        }
        Thread.sleep(4_000);
        engines[0].endless = trouble;
        engines[1].endless = trouble;
        int notReady = 0;
        while (!left.await(500, TimeUnit.MILLISECONDS)) {
            for (Fleet.Node node : fleet.nodes) {
                if (!node.process.isAlive()) {
                    record.line(node.name, "has ended by itself");
                } else if (!Fleet.isReady(node, 2_000)) {
                    notReady++;
                    record.line(node.name, "gives no readiness");
                }
            }
        }
        engines[0].endless = false;
        engines[1].endless = false;
        Thread.sleep(8_000);
        int dead = 0;
        int hung = 0;
        for (Fleet.Node node : fleet.nodes) {
            dead += node.process.isAlive() ? 0 : 1;
            hung += Fleet.isReady(node, 3_000) ? 0 : 1;
            record.line(node.name, "registered: " + store.get("sesamepin/control/host/" + node.name));
        }
        record.line("verdict", outcomes + ", ended " + dead + ", not ready afterwards " + hung + ", misses " + notReady);
        fleet.endAll();
        System.exit(dead > 0 || hung > 0 ? 1 : 0);
    }
}
