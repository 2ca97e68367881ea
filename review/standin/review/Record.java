package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happened, with the time since the start, to a file and to the standard output. */
final class Record implements AutoCloseable {

    private final long startNs = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Adds a line to the file only. */
    synchronized void add(String format, Object... arguments) {
        writer.printf("%8.3f s  %s%n", nowMs() / 1000.0, String.format(format, arguments));
        writer.flush();
    }

    /** Adds a line to the file and prints it. */
    synchronized void say(String format, Object... arguments) {
        add(format, arguments);
        System.out.printf("%8.3f s  %s%n", nowMs() / 1000.0, String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
