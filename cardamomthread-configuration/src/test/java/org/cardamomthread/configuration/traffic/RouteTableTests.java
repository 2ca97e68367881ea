package org.cardamomthread.configuration.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the lookups of {@link RouteTable} and the errors of {@link TrafficDocumentValidator}. */
public class RouteTableTests {

    private static final List<TrafficService> SERVICES = List.of(service("chat"));

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"ice.example", "/a/order", "outer"},
            {"ICE.example:8080", "/a/order", "outer"},
            {"ice.example", "/a/b/order", "inner"},
            {"ice.example", "/a/b/", "inner"},
            {"ice.example", "/a/b", "outer"},
            {"ice.example", "/a", null},
            {"ice.example", "/x/a/b/", null},
            {"tents.example", "/a/order", null},
            {"", "/a/order", null},
        };
    }

    @Test(dataProvider = "requests")
    public void findsTheLongestPrefix(String host, String path, String expected) {
        RouteTable table =
                new RouteTable(
                        document(
                                List.of(route("outer", "/a/", 1), route("inner", "/a/b/", 1)),
                                List.of()));
        Optional<String> found = table.findRoute(host, path).map(route -> route.id().value());
        assertEquals(found.orElse(null), expected);
    }

    @Test
    public void findsTheAccountByItsKey() {
        RouteTable table =
                new RouteTable(document(List.of(), List.of(account("bars", "k1", "k2"))));
        assertEquals(table.findAccountByKey("k2").orElseThrow().id(), new ClientAccountId("bars"));
        assertEquals(table.findAccountByKey("k3"), Optional.empty());
    }

    @DataProvider
    public Object[][] invalidDocuments() {
        return new Object[][] {
            {document(List.of(route("a", "/a/", 1), route("b", "/a/", 1)), List.of()), "match"},
            {document(List.of(route("a", "/a/", 0)), List.of()), "add up to 0"},
            {document(List.of(route("a", "a/", 1)), List.of()), "slash"},
            {document(List.of(route("a", "/a/", 1, "none", 100)), List.of()), "unknown service"},
            {document(List.of(route("a", "/a/", 1, "chat", 0)), List.of()), "timeout"},
            {
                document(List.of(), List.of(account("bars", "k1"), account("clubs", "k1"))),
                "share a key"
            },
        };
    }

    @Test(dataProvider = "invalidDocuments")
    public void rejectsAnInvalidDocument(TrafficDocument document, String reason) {
        InvalidTrafficDocumentException error =
                expectThrows(
                        InvalidTrafficDocumentException.class,
                        () -> TrafficDocumentValidator.validate(document));
        assertEquals(error.getMessage().contains(reason), true, error.getMessage());
    }

    @Test
    public void acceptsAKeyThatOneAccountListsTwice() throws InvalidTrafficDocumentException {
        TrafficDocumentValidator.validate(
                document(List.of(), List.of(account("bars", "k1", "k1"))));
    }

    private static TrafficDocument document(
            List<TrafficRoute> routes, List<TrafficAccount> accounts) {
        return new TrafficDocument(1, routes, SERVICES, accounts);
    }

    private static TrafficRoute route(String id, String prefix, double weight) {
        return route(id, prefix, weight, "chat", 100);
    }

    private static TrafficRoute route(
            String id, String prefix, double weight, String service, long timeoutMs) {
        return new TrafficRoute(
                new RouteId(id),
                "ice.example",
                prefix,
                RequestKind.REPEATABLE,
                timeoutMs,
                50,
                0,
                0,
                List.of(new WeightedService(new ServiceId(service), weight)),
                1,
                false);
    }

    private static TrafficService service(String id) {
        return new TrafficService(new ServiceId(id), "/healthz", 10, 0, false, Optional.empty());
    }

    private static TrafficAccount account(String id, String... keys) {
        return new TrafficAccount(
                new ClientAccountId(id), List.of(keys), OptionalInt.empty(), false, 0, 0, 0);
    }
}
