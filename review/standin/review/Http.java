package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

    private Http() {}

    /** A request or response; for a response, the first line is its status line. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message, or returns null if the peer closed the connection before its first byte. */
    static Message read(InputStream in) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended inside a head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(firstLine, headers, readBody(in, headers));
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("the connection ended inside a chunked body");
                }
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                body.write(readExactly(in, size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = headers.get("content-length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static void write(OutputStream out, String firstLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Sends one request on a new connection and reads the response, or returns null without one. */
    static Message call(
            String host,
            int port,
            String firstLine,
            Map<String, String> headers,
            byte[] body,
            int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(1_000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            write(socket.getOutputStream(), firstLine, headers, body);
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }
}
