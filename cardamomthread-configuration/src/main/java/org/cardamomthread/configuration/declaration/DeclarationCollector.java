package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;

/**
 * Collects declarations from documents and records the position of each for error reports.
 *
 * <p>Not thread-safe.
 */
final class DeclarationCollector {

    private record Origin(Document document, String pointer) {}

    private final SortedMap<DeclarationKey, String> canonicalJsonByKey = new TreeMap<>();
    private final Map<DeclarationKey, Origin> origins = new HashMap<>();
    private final List<DocumentProblem> problems = new ArrayList<>();

    void add(DeclarationKind kind, ObjectNode tree, Document document, String pointer) {
        DeclarationKey key = new DeclarationKey(kind, tree.get("id").asText());
        Origin existing = origins.putIfAbsent(key, new Origin(document, pointer));
        if (existing != null) {
            problems.add(
                    document.problem(
                            pointer + "/id",
                            "the id \""
                                    + key.id()
                                    + "\" is already declared at "
                                    + existing.document().locate(existing.pointer() + "/id"),
                            "give one of them another id, or remove it"));
            return;
        }
        try {
            hashToken(tree);
            checkPathPatterns(tree, document, pointer);
            canonicalJsonByKey.put(key, DeclarationCodec.write(DeclarationCodec.read(kind, tree)));
        } catch (IllegalArgumentException e) {
            problems.add(document.problem(pointer, e.getMessage(), "correct the value"));
        }
    }

    SortedMap<DeclarationKey, String> canonicalJsonByKey() {
        return canonicalJsonByKey;
    }

    List<DocumentProblem> problems() {
        return problems;
    }

    DocumentProblem problem(DeclarationKey key, String pointer, String detail, String remedy) {
        Origin origin = origins.get(key);
        return origin.document().problem(origin.pointer() + pointer, detail, remedy);
    }

    /** Replaces a token by its hash, so that the replicated declarations contain no token. */
    private static void hashToken(ObjectNode tree) {
        JsonNode token = tree.remove("token");
        if (token != null) {
            tree.put("tokenSha256", Sha256.hexDigest(token.asText()));
        }
    }

    private void checkPathPatterns(ObjectNode tree, Document document, String pointer) {
        JsonNode routes = tree.path("routes");
        for (int i = 0; i < routes.size(); i++) {
            JsonNode paths = routes.get(i).path("paths");
            for (int j = 0; j < paths.size(); j++) {
                checkPathPattern(
                        paths.get(j).asText(), document, pointer + "/routes/" + i + "/paths/" + j);
            }
        }
    }

    private void checkPathPattern(String text, Document document, String pointer) {
        try {
            new PathPattern(text);
        } catch (IllegalArgumentException e) {
            problems.add(
                    document.problem(
                            pointer,
                            e.getMessage(),
                            "write segments separated by single slashes, with * for one segment and"
                                    + " ** for the rest at the end"));
        }
    }
}
