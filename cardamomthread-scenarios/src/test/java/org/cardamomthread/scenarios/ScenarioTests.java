package org.cardamomthread.scenarios;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Executes every scenario file. */
public class ScenarioTests {

    private static final String FOLDER = "/scenarios";

    @DataProvider
    public Object[][] scenarios() throws IOException, URISyntaxException {
        Path folder =
                Path.of(
                        Objects.requireNonNull(ScenarioTests.class.getResource(FOLDER), FOLDER)
                                .toURI());
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted()
                    .map(file -> new Object[] {Scenario.read(file)})
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "scenarios")
    public void meetsExpectations(Scenario scenario) {
        World world = createWorld(scenario);
        for (Scenario.Step step : scenario.steps()) {
            world.execute(step);
        }
    }

    private static World createWorld(Scenario scenario) {
        return switch (scenario.world()) {
            case "credits" -> new CreditWorld(scenario.seed());
            case "calls" -> new CallWorld();
            case "jobs" -> new JobWorld();
            default ->
                    throw new IllegalArgumentException(
                            scenario.name() + ": world must be credits, calls or jobs");
        };
    }
}
