import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt in the folder of the case. */
final class Record {
    private final PrintWriter mOut;
    private final long mStartedAt = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String who, String what) {
        mOut.printf("%8.3f %s %s%n", seconds(), who, what);
    }

    double seconds() {
        return (System.nanoTime() - mStartedAt) / 1e9;
    }
}
