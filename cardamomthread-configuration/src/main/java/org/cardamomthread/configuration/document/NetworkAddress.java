package org.cardamomthread.configuration.document;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds an IP address and a port.
 *
 * <p>Host names are not accepted, so no address ever needs a name lookup. Immutable and
 * thread-safe.
 *
 * @param ip the IP address: IPv4 in dotted decimal form, or IPv6 without brackets
 * @param port the port, 1 to {@value #MAX_PORT}
 */
public record NetworkAddress(String ip, int port) implements Comparable<NetworkAddress> {

    /** The highest valid port. */
    public static final int MAX_PORT = 65_535;

    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(?:\\[(?<v6>[0-9A-Fa-f:.]+)]|(?<v4>[0-9.]+)):(?<port>[0-9]{1,5})");
    private static final String IPV4_OCTET_REGEX = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IPV4_PATTERN =
            Pattern.compile(IPV4_OCTET_REGEX + "(\\." + IPV4_OCTET_REGEX + "){3}");

    /** Validates the components. */
    public NetworkAddress {
        if (ip == null || !isIpAddress(ip)) {
            throw new IllegalArgumentException("ip \"" + ip + "\" must be an IP address");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " must be 1 to " + MAX_PORT);
        }
    }

    /**
     * Parses an address.
     *
     * @param text such as {@code 127.0.0.1:8080} or {@code [::1]:8080}
     * @return the address
     * @throws IllegalArgumentException if the text is not an IP address and a port
     */
    public static NetworkAddress parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "address \""
                            + text
                            + "\" must be an IP address and a port, such as 127.0.0.1:8080");
        }
        String v6 = matcher.group("v6");
        String ip = v6 == null ? matcher.group("v4") : v6;
        return new NetworkAddress(ip, Integer.parseInt(matcher.group("port")));
    }

    /**
     * Converts to a socket address without a name lookup.
     *
     * @return the socket address
     */
    public InetSocketAddress toSocketAddress() {
        try {
            return new InetSocketAddress(InetAddress.getByName(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("ip \"" + ip + "\" must be an IP address", e);
        }
    }

    @Override
    public int compareTo(NetworkAddress other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return ip.indexOf(':') < 0 ? ip + ":" + port : "[" + ip + "]:" + port;
    }

    private static boolean isIpAddress(String ip) {
        if (ip.indexOf(':') < 0) {
            return IPV4_PATTERN.matcher(ip).matches();
        }
        try {
            // Brackets make getByName accept an IPv6 literal only, so no name is looked up.
            return InetAddress.getByName("[" + ip + "]") != null;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
