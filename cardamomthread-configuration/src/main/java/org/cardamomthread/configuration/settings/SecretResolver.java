package org.cardamomthread.configuration.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.JsonPointers;

/** Replaces each secret, given inline or as the path of a file, by its string. Not thread-safe. */
final class SecretResolver {

    private static final String SECRETS_KEY = "secrets";

    private final Document document;
    private final Path directory;
    private final List<DocumentProblem> problems;

    SecretResolver(Document document, Path directory, List<DocumentProblem> problems) {
        this.document = document;
        this.directory = directory;
        this.problems = problems;
    }

    void resolveSecrets(ObjectNode tree) {
        ObjectNode secrets = (ObjectNode) tree.get(SECRETS_KEY);
        for (String name : List.of("peerKey", "endpointToken")) {
            secrets.put(name, read(secrets.get(name), JsonPointers.of(SECRETS_KEY, name)));
        }
        ArrayNode tokens = (ArrayNode) secrets.get("operatorTokens");
        for (int i = 0; i < tokens.size(); i++) {
            tokens.set(i, read(tokens.get(i), JsonPointers.of(SECRETS_KEY, "operatorTokens", i)));
        }
    }

    private String read(JsonNode secret, String pointer) {
        if (secret.has("value")) {
            return secret.get("value").asText();
        }
        Path file = directory.resolve(secret.get("file").asText());
        try {
            String value = Files.readString(file).strip();
            if (value.length() < Secret.MIN_LENGTH_CHARS) {
                report(
                        pointer,
                        "the secret in file \"" + file + "\" is too short",
                        "write at least " + Secret.MIN_LENGTH_CHARS + " characters to the file");
            }
            return value;
        } catch (IOException e) {
            report(
                    pointer,
                    "the file \"" + file + "\" is missing or unreadable",
                    "create it with the secret as its only content, readable by this user");
            return "";
        }
    }

    private void report(String pointer, String detail, String remedy) {
        problems.add(document.problem(pointer + "/file", detail, remedy));
    }
}
