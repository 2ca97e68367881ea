package org.cardamomthread.configuration.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Objects;

/**
 * Holds a parsed document and the source location of each of its keys.
 *
 * <p>Keys are identified by JSON pointers. Thread-safe as long as no caller modifies the tree.
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
     * Returns a document for a tree that was not read from a file.
     *
     * @param source the name that errors give to the document
     * @param root the tree
     * @return a document without line numbers
     */
    public static Document ofTree(String source, JsonNode root) {
        Objects.requireNonNull(root, "root must not be null");
        return new Document(source, root, Map.of());
    }

    /**
     * Returns the name that errors give to the document.
     *
     * @return the path of the file, or the name given to {@link #ofTree}
     */
    public String source() {
        return source;
    }

    /**
     * Returns the tree.
     *
     * @return the root, which callers must not modify
     */
    public JsonNode root() {
        return root;
    }

    /**
     * Returns the source location of a key.
     *
     * @param pointer the JSON pointer of the key
     * @return the location of the key, of its nearest ancestor with a known location, or of the
     *     document as a whole
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
     * Returns a problem located at a key.
     *
     * @param pointer the JSON pointer of the key
     * @param detail what is wrong
     * @param remedy how to correct it
     * @return the problem
     */
    public DocumentProblem problem(String pointer, String detail, String remedy) {
        String key = pointer.startsWith("/") ? pointer.substring(1) : pointer;
        return new DocumentProblem(locate(pointer), key, detail, remedy);
    }
}
