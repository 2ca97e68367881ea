import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {

    private final long startNs = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void add(String line) {
        writer.printf("%8d ms  %s%n", nowMs(), line);
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
