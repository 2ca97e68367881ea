package org.cardamomthread.configuration.document;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.function.Function;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ProfileId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Converts between checked trees and records.
 *
 * <p>Ids are texts in trees. Records are written with their members in the order of their names, so
 * that equal records give equal texts. Immutable and safe for use by several threads.
 */
public final class DocumentMapper {

    private final ObjectMapper mapper;

    /** Creates a mapper. */
    public DocumentMapper() {
        this(new SimpleModule());
    }

    /**
     * Creates a mapper that knows further types.
     *
     * @param texts the module that holds further types
     */
    public DocumentMapper(SimpleModule texts) {
        addStringType(texts, ClientAccountId.class, ClientAccountId::new);
        addStringType(texts, DataCentreId.class, DataCentreId::new);
        addStringType(texts, EndpointClassId.class, EndpointClassId::new);
        addStringType(texts, NodeId.class, NodeId::new);
        addStringType(texts, ProfileId.class, ProfileId::new);
        addStringType(texts, RouteId.class, RouteId::new);
        addStringType(texts, ServiceId.class, ServiceId::new);
        addStringType(texts, VersionId.class, VersionId::new);
        addStringType(texts, NetworkAddress.class, NetworkAddress::parse);
        mapper =
                JsonMapper.builder()
                        .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                        .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                        .disable(MapperFeature.SORT_CREATOR_PROPERTIES_FIRST)
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .serializationInclusion(JsonInclude.Include.NON_ABSENT)
                        .addModules(new Jdk8Module(), texts)
                        .build();
    }

    /**
     * Reads a record from a tree that a schema has found valid.
     *
     * @param tree the tree with defaults
     * @param type the record type
     * @param <T> the record type
     * @return the record
     * @throws IllegalArgumentException if the record refuses a value; the message says why
     */
    public <T> T read(JsonNode tree, Class<T> type) {
        try {
            return mapper.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads a tree from JSON text.
     *
     * @param json the text
     * @return the tree
     * @throws IllegalArgumentException if the text is not JSON
     */
    public JsonNode parse(String json) {
        try {
            return mapper.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("text must be JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Converts a value to a tree.
     *
     * @param value the record
     * @return its tree
     */
    public JsonNode toTree(Object value) {
        return mapper.valueToTree(value);
    }

    /**
     * Writes a value as JSON on one line.
     *
     * @param value a record or tree
     * @return the text
     */
    public String write(Object value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value must be a record or tree", e);
        }
    }

    /**
     * Adds a type that is a text in trees.
     *
     * @param module the module
     * @param type the type; its toString gives the text
     * @param parser makes the value from the text
     * @param <T> the type
     */
    public static <T> void addStringType(
            SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new ParsingDeserializer<>(type, parser));
    }

    private static final class ParsingDeserializer<T> extends FromStringDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parser;

        ParsingDeserializer(Class<T> type, Function<String, T> parser) {
            super(type);
            this.parser = parser;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) {
            return parser.apply(value);
        }
    }
}
