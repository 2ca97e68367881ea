package org.cardamomthread.configuration.declaration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link PathPattern}: wildcards, and paths that servers could interpret in different ways.
 */
public class PathPatternTests {

    @DataProvider
    public Object[][] paths() {
        return new Object[][] {
            {"/drops", "/drops", true},
            {"/drops", "/drops/7", false},
            {"/drops/*", "/drops/7", true},
            {"/drops/*", "/drops/", false},
            {"/drops/*/lines", "/drops/7/lines", true},
            {"/drops/**", "/drops", true},
            {"/drops/**", "/drops/7/lines", true},
            {"/**", "/", true},
        };
    }

    @Test(dataProvider = "paths")
    public void matchesSegments(String pattern, String path, boolean matches) {
        assertEquals(new PathPattern(pattern).matches(path), matches);
    }

    @DataProvider
    public Object[][] ambiguousPaths() {
        return new Object[][] {
            {"/stock/../drops"},
            {"/stock/%2e%2E/drops"},
            {"//drops"},
            {"/x%2Fdrops"},
            {"/drops;v=1"},
            {"/drops%3bv=1"},
            {"/x\\drops"},
            {"/x%5cdrops"},
            {"/./drops"},
            {"/%252e%252e/drops"},
            {"drops"},
            {"/drops%"},
            {"/drops%zz"},
            {""},
        };
    }

    @Test(dataProvider = "ambiguousPaths")
    public void rejectsAmbiguousPaths(String path) {
        assertEquals(PathPattern.decode(path), Optional.empty());
        expectThrows(IllegalArgumentException.class, () -> new PathPattern(path));
    }

    @DataProvider
    public Object[][] pathsWithFragments() {
        return new Object[][] {{"/drops#"}, {"/drops#x"}, {"/drops#/x"}, {"/#/drops"}};
    }

    // Guards against a fragment that is ignored here and taken for a part of the path elsewhere.
    @Test(dataProvider = "pathsWithFragments")
    public void rejectsPathsWithFragments(String path) {
        assertEquals(PathPattern.decode(path), Optional.empty());
        assertEquals(PathPattern.decode(path.replace("#", "%23")), Optional.of(path));
    }

    @DataProvider
    public Object[][] equivalentPaths() {
        return new Object[][] {{"/drops"}, {"/drops/"}, {"/%64rops"}, {"/drop%73/"}};
    }

    @Test(dataProvider = "equivalentPaths")
    public void decodesEquivalentPaths(String path) {
        assertEquals(PathPattern.decode(path), Optional.of("/drops"));
    }
}
