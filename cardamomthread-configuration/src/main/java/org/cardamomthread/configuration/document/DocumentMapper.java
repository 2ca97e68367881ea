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
 * Converts between validated JSON trees and records.
 *
 * <p>Ids are JSON strings. Properties are written in alphabetical order, so that equal records give
 * equal JSON. Immutable and thread-safe.
 */
public final class DocumentMapper {

    private final ObjectMapper mapper;

    /** Creates a mapper for records whose components are ids, addresses and standard types. */
    public DocumentMapper() {
        this(new SimpleModule());
    }

    /**
     * Creates a mapper that supports additional types.
     *
     * @param module holds the additional types; this constructor adds the standard types to it
     */
    public DocumentMapper(SimpleModule module) {
        addStringType(module, ClientAccountId.class, ClientAccountId::new);
        addStringType(module, DataCentreId.class, DataCentreId::new);
        addStringType(module, EndpointClassId.class, EndpointClassId::new);
        addStringType(module, NodeId.class, NodeId::new);
        addStringType(module, ProfileId.class, ProfileId::new);
        addStringType(module, RouteId.class, RouteId::new);
        addStringType(module, ServiceId.class, ServiceId::new);
        addStringType(module, VersionId.class, VersionId::new);
        addStringType(module, NetworkAddress.class, NetworkAddress::parse);
        mapper =
                JsonMapper.builder()
                        .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                        .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                        .disable(MapperFeature.SORT_CREATOR_PROPERTIES_FIRST)
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .serializationInclusion(JsonInclude.Include.NON_ABSENT)
                        .addModules(new Jdk8Module(), module)
                        .build();
    }

    /**
     * Converts a tree that is valid against its schema to a record.
     *
     * @param tree the tree, with defaults filled in
     * @param type the record type
     * @param <T> the record type
     * @return the record
     * @throws IllegalArgumentException if the record rejects a value; the message says why
     */
    public <T> T read(JsonNode tree, Class<T> type) {
        try {
            return mapper.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }

    /**
     * Parses JSON text.
     *
     * @param json the text
     * @return the parsed tree
     * @throws IllegalArgumentException if the text is not valid JSON
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
     * @return the equivalent JSON tree
     */
    public JsonNode toTree(Object value) {
        return mapper.valueToTree(value);
    }

    /**
     * Writes a value as single-line JSON.
     *
     * @param value a record or tree
     * @return the JSON text
     */
    public String write(Object value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value must be a record or tree", e);
        }
    }

    /**
     * Registers a type that is represented as a JSON string.
     *
     * @param module the module to add the type to
     * @param type the type; {@code toString} gives its JSON string
     * @param parser creates a value from its JSON string
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
