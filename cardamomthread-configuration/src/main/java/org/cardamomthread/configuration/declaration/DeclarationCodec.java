package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.cardamomthread.configuration.document.DocumentMapper;

/** Converts declarations to and from JSON. Stateless and thread-safe. */
final class DeclarationCodec {

    private static final DocumentMapper MAPPER = createMapper();

    private DeclarationCodec() {}

    static Object read(DeclarationKey key, String json) {
        return read(key.kind(), MAPPER.parse(json));
    }

    static Object read(DeclarationKind kind, JsonNode tree) {
        return MAPPER.read(tree, typeOf(kind));
    }

    static String write(Object declaration) {
        return MAPPER.write(declaration);
    }

    static JsonNode toTree(Object declaration) {
        return MAPPER.toTree(declaration);
    }

    private static Class<?> typeOf(DeclarationKind kind) {
        return switch (kind) {
            case DATA_CENTRE -> DataCentre.class;
            case ENDPOINT_CLASS -> EndpointClass.class;
            case PROFILE -> Profile.class;
            case SERVICE -> Service.class;
            case CLIENT_ACCOUNT -> ClientAccount.class;
        };
    }

    private static DocumentMapper createMapper() {
        SimpleModule module = new SimpleModule();
        DocumentMapper.addStringType(module, PathPattern.class, PathPattern::new);
        return new DocumentMapper(module);
    }
}
