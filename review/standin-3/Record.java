import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the time since the start in seconds. */
final class Record implements AutoCloseable {

    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    long elapsedMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", elapsedMs() / 1_000.0, text));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
