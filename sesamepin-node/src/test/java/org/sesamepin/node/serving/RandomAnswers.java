package org.sesamepin.node.serving;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Draws for each request what is written, in which pieces, and how the connection ends. */
final class RandomAnswers implements SocketTarget.Script {
    private static final int[] STATUSES = {200, 200, 200, 201, 404, 421, 500, 500, 503};

    private static final SocketTarget.End[] ENDS = SocketTarget.End.values();

    private final int mSeed;
    private final Consumer<WrittenAnswer> mRecord;
    private final List<WrittenAnswer> mFormer = new CopyOnWriteArrayList<>();
    private final List<String> mLog = new CopyOnWriteArrayList<>();

    RandomAnswers(int seed, Consumer<WrittenAnswer> log) {
        mSeed = seed;
        mRecord = log;
    }

    /** Returns what was written, in order. */
    List<String> log() {
        return mLog;
    }

    @Override
    public void answer(SocketTarget.Link link, String id, int number) throws IOException {
        Random random = new Random(id.hashCode() * 31L + mSeed);
        if (random.nextInt(10) > 0) {
            link.readBody();
        }
        WrittenAnswer answer = WrittenAnswer.of(id, STATUSES[random.nextInt(STATUSES.length)], "x");
        String before = random.nextInt(5) < 2 ? "" : foreignBytes(random);
        if (random.nextInt(10) == 0) {
            before += "HTTP/1.1 103 x\r\n\r\n";
        }
        boolean isUnframed = random.nextInt(8) == 0;
        String text = frame(random, answer, isUnframed);
        if (random.nextInt(6) == 0) {
            int cut = random.nextInt(text.length());
            write(link, random, before + text.substring(0, cut));
            SocketTarget.End end = ENDS[random.nextInt(3)];
            link.end(isUnframed ? SocketTarget.End.RESET : end);
            return;
        }
        mRecord.accept(answer);
        mFormer.add(answer);
        String behind = isUnframed || random.nextInt(5) < 2 ? "" : foreignBytes(random);
        write(link, random, before + text + behind);
        SocketTarget.End end = ENDS[Math.min(3, random.nextInt(8))];
        link.end(isUnframed ? SocketTarget.End.FIN : end);
    }

    private String foreignBytes(Random random) {
        if (mFormer.isEmpty() || random.nextInt(3) == 0) {
            return SplicedAnswerTest.SURPLUS.get(random.nextInt(SplicedAnswerTest.SURPLUS.size()));
        }
        WrittenAnswer former = mFormer.get(random.nextInt(mFormer.size()));
        int status = STATUSES[random.nextInt(STATUSES.length)];
        String late =
                new WrittenAnswer(former.id(), status, former.mark(), former.body())
                        .text(random.nextBoolean());
        return late.substring(0, 1 + random.nextInt(late.length()));
    }

    private static String frame(Random random, WrittenAnswer answer, boolean isUnframed) {
        String text = answer.text(true);
        String length = "Content-Length: " + answer.body().length();
        if (isUnframed) {
            return text.replace(length, "Connection: close");
        }
        return switch (random.nextInt(8)) {
            case 0 -> answer.chunkedText(1 + random.nextInt(answer.body().length() - 1));
            case 1 -> text.replace("HTTP/1.1", "HTTP/1.0");
            case 2 -> text.replace(length, length + "\r\nConnection: close");
            case 3 -> text.replace(length, length + "\r\nLast: a\r\n folded");
            default -> text;
        };
    }

    private void write(SocketTarget.Link link, Random random, String text) throws IOException {
        mLog.add(text);
        int start = 0;
        while (start < text.length()) {
            int end =
                    random.nextInt(3) == 0
                            ? text.length()
                            : start + 1 + random.nextInt(text.length() - start);
            link.write(text.substring(start, end));
            start = end;
            AnswerPath.pause(random.nextInt(3));
        }
    }
}
