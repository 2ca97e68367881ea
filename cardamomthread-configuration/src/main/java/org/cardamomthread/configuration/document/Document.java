package org.cardamomthread.configuration.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Objects;

/**
 * Holds a parsed document and the location of each of its keys.
 *
 * <p>Keys are named by JSON pointers. The tree must not be changed; under that condition a document
 * is safe for use by several threads.
 */
public final class Document {

    private final String source;
    private final JsonNode root;
    private final Map<String, SourceLocation> locations;

    Document(String source, JsonNode root, Map<String, SourceLocation> locations) {
        this.source = source;
        this.root = root;
        this.locations = Map.copyOf(locations);
    }

    /**
     * Wraps a tree that did not come from a file.
     *
     * @param source a name for the tree in errors
     * @param root the tree
     * @return a document without lines
     */
    public static Document ofTree(String source, JsonNode root) {
        Objects.requireNonNull(root, "root must not be null");
        return new Document(source, root, Map.of());
    }

    /**
     * Returns the name of the document.
     *
     * @return the file or the name given
     */
    public String source() {
        return source;
    }

    /**
     * Returns the tree.
     *
     * @return the root, not to be changed
     */
    public JsonNode root() {
        return root;
    }

    /**
     * Finds the location of a key.
     *
     * @param pointer the JSON pointer of the key
     * @return the location of the key, or else of the nearest parent that has one
     */
    public SourceLocation locate(String pointer) {
        String current = pointer;
        while (true) {
            SourceLocation found = locations.get(current);
            if (found != null) {
                return found;
            }
            int parentEnd = current.lastIndexOf('/');
            if (parentEnd < 0) {
                return SourceLocation.ofDocument(source);
            }
            current = current.substring(0, parentEnd);
        }
    }

    /**
     * Describes an error at a key.
     *
     * @param pointer the JSON pointer of the key
     * @param detail what is wrong
     * @param remedy what to do about it
     * @return the problem with its location
     */
    public Problem problem(String pointer, String detail, String remedy) {
        String key = pointer.startsWith("/") ? pointer.substring(1) : pointer;
        return new Problem(locate(pointer), key, detail, remedy);
    }
}
