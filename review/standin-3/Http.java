import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {

    private Http() {}

    /** A message; for a request {@code status} is 0, for a response {@code startLine} has its text. */
    record Message(String startLine, int status, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sends one request on a new connection and reads the response. */
    static Message call(
            String ip,
            int port,
            String method,
            String path,
            List<String> headers,
            byte[] body,
            int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), Math.min(1_000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream()
                    .write(encode(method + " " + path + " HTTP/1.1", ip + ":" + port, headers, body));
            return readMessage(socket.getInputStream());
        }
    }

    static byte[] encode(String startLine, String host, List<String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        boolean hasHost = headers.stream().anyMatch(h -> h.toLowerCase(Locale.ROOT).startsWith("host:"));
        if (host != null && !hasHost) {
            head.append("Host: ").append(host).append("\r\n");
        }
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, bytes, 0, headBytes.length);
        System.arraycopy(body, 0, bytes, headBytes.length, body.length);
        return bytes;
    }

    /** Reads a message with a length or chunks; throws EOFException at the end of the connection. */
    static Message readMessage(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int status = startLine.startsWith("HTTP/1.") ? Integer.parseInt(startLine.substring(9, 12)) : 0;
        return new Message(startLine, status, headers, readBody(in, headers));
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                body.write(readFully(in, size));
                readLine(in);
            }
            readLine(in);
            return body.toByteArray();
        }
        String length = headers.get("content-length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    private static int readChunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
