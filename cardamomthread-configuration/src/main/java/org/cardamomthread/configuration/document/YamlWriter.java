package org.cardamomthread.configuration.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/** Writes JSON trees as YAML. Stateless and thread-safe. */
public final class YamlWriter {

    private static final YAMLMapper MAPPER =
            YAMLMapper.builder()
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                    .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
                    .enable(YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
                    .build();

    private YamlWriter() {}

    /**
     * Writes a tree as a YAML document.
     *
     * @param tree the tree
     * @return the YAML text, which {@link YamlReader} parses to an equal tree
     */
    public static String write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsString(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("tree must be writable as YAML", e);
        }
    }
}
