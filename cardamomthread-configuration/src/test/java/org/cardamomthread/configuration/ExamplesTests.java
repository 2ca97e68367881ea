package org.cardamomthread.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.NodeSettingsLoader;
import org.cardamomthread.configuration.settings.PeerSettings;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the declarations and settings in the examples directory are valid and consistent. */
public class ExamplesTests {

    private static final Path EXAMPLES_DIRECTORY = Path.of("..", "examples");

    @DataProvider
    public Object[][] examples() {
        return new Object[][] {
            {"coldwater", 4, 7, 5}, {"serra", 4, 6, 5}, {"tour", 2, 3, 1},
        };
    }

    @Test(dataProvider = "examples")
    public void declaresExpectedDataCentresAndAccounts(
            String name, int dataCentres, int nodes, int accounts) throws InvalidDocumentException {
        Declarations declarations = load(name);
        assertEquals(declarations.dataCentres().size(), dataCentres);
        assertEquals(declarations.clientAccounts().size(), accounts);
    }

    @Test(dataProvider = "examples")
    public void nodesOfAnExampleShareClusterSettings(
            String name, int dataCentres, int nodes, int accounts)
            throws IOException, InvalidDocumentException {
        Declarations declarations = load(name);
        List<NodeSettings> settings = loadSettings(name);
        assertEquals(settings.size(), nodes);
        for (NodeSettings nodeSettings : settings) {
            assertEquals(nodeSettings.peers(), settings.get(0).peers());
            assertEquals(nodeSettings.bootstrapVoters(), settings.get(0).bootstrapVoters());
            assertEquals(nodeSettings.secrets(), settings.get(0).secrets());
            assertTrue(declarations.dataCentres().containsKey(nodeSettings.dataCentre()));
        }
    }

    @Test(dataProvider = "examples")
    public void spreadsThreeVotersOverDataCentres(
            String name, int dataCentres, int nodes, int accounts)
            throws IOException, InvalidDocumentException {
        List<PeerSettings> voters =
                loadSettings(name).get(0).peers().stream().filter(PeerSettings::voter).toList();
        assertEquals(voters.size(), 3);
        int voterDataCentres =
                voters.stream().map(PeerSettings::dataCentre).collect(Collectors.toSet()).size();
        assertEquals(voterDataCentres, Math.min(3, dataCentres));
    }

    @DataProvider
    public Object[][] nonRepeatableRoutes() {
        return new Object[][] {
            {"coldwater", "drops", "/drops"}, {"serra", "bookings", "/bookings"},
        };
    }

    @Test(dataProvider = "nonRepeatableRoutes")
    public void declaresBookingsAsNotRepeatable(String name, String service, String path)
            throws InvalidDocumentException {
        var route =
                load(name)
                        .findService(new ServiceId(service))
                        .orElseThrow()
                        .findRoute("POST", path)
                        .orElseThrow();
        assertEquals(route.id(), new RouteId("book"));
        assertTrue(!route.repeatable());
    }

    private static Declarations load(String name) throws InvalidDocumentException {
        return new DeclarationsLoader()
                .load(EXAMPLES_DIRECTORY.resolve(name).resolve("declarations"));
    }

    private static List<NodeSettings> loadSettings(String name)
            throws IOException, InvalidDocumentException {
        List<NodeSettings> settings = new ArrayList<>();
        try (Stream<Path> files =
                Files.list(EXAMPLES_DIRECTORY.resolve(name).resolve("settings"))) {
            for (Path file : files.sorted().toList()) {
                settings.add(new NodeSettingsLoader().load(file));
            }
        }
        return settings;
    }
}
