import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client's HTTP/1.1 request on a channel of its own. */
final class Call {

    /**
     * What came back.
     *
     * @param status the status, or 0 if no complete answer came
     * @param headers the headers, names in lowercase
     * @param body the body as far as it came
     * @param isWhole whether the answer ended as its framing says
     * @param problem why no complete answer came, or an empty text
     */
    record Answer(
            int status, Map<String, String> headers, byte[] body, boolean isWhole, String problem) {

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Call() {}

    static Answer send(
            String ip,
            int port,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), Math.min(1000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            return read(socket.getInputStream(), "HEAD".equals(method));
        } catch (IOException e) {
            return new Answer(0, Map.of(), new byte[0], false, e.toString());
        }
    }

    static Answer read(InputStream in, boolean isHead) throws IOException {
        String statusLine = readLine(in);
        if (statusLine == null || !statusLine.startsWith("HTTP/1.")) {
            return new Answer(0, Map.of(), new byte[0], false, "no status line: " + statusLine);
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                return new Answer(status, headers, new byte[0], false, "the head broke off");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isWhole = true;
        String problem = "";
        try {
            if (isHead || status == 204 || status == 304) {
                isWhole = true;
            } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                isWhole = readChunks(in, body);
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                body.write(in.readNBytes(length));
                isWhole = body.size() == length;
            } else {
                body.write(in.readAllBytes());
            }
        } catch (IOException e) {
            isWhole = false;
            problem = e.toString();
        }
        return new Answer(
                status,
                headers,
                body.toByteArray(),
                isWhole,
                isWhole || !problem.isEmpty() ? problem : "the body broke off");
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
            throws IOException {
        while (true) {
            String line = readLine(in);
            if (line == null) {
                return false;
            }
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(size);
            body.write(chunk);
            if (chunk.length < size || readLine(in) == null) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r'
                        ? line.substring(0, length - 1)
                        : line.toString();
            }
            line.append((char) next);
        }
        return null;
    }
}
