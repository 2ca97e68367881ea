package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cardamomthread.configuration.declaration.DeclarationChange.FieldChange;
import org.cardamomthread.configuration.declaration.DeclarationChange.Type;

/** Computes the differences between two sets of declarations. Stateless and thread-safe. */
public final class DeclarationsDifference {

    private DeclarationsDifference() {}

    /**
     * Lists the changes that lead from one set to another.
     *
     * @param before the earlier set
     * @param after the later set
     * @return one change for each declaration that differs, in the order of the keys
     */
    public static List<DeclarationChange> between(Declarations before, Declarations after) {
        SortedMap<DeclarationKey, String> beforeJsonByKey = before.canonicalJsonByKey();
        SortedMap<DeclarationKey, String> afterJsonByKey = after.canonicalJsonByKey();
        TreeSet<DeclarationKey> keys = new TreeSet<>(beforeJsonByKey.keySet());
        keys.addAll(afterJsonByKey.keySet());
        List<DeclarationChange> changes = new ArrayList<>();
        for (DeclarationKey key : keys) {
            String beforeJson = beforeJsonByKey.get(key);
            String afterJson = afterJsonByKey.get(key);
            if (beforeJson == null) {
                changes.add(new DeclarationChange(Type.ADDED, key, List.of()));
            } else if (afterJson == null) {
                changes.add(new DeclarationChange(Type.REMOVED, key, List.of()));
            } else if (!beforeJson.equals(afterJson)) {
                changes.add(
                        new DeclarationChange(
                                Type.CHANGED, key, compareFields(key, beforeJson, afterJson)));
            }
        }
        return changes;
    }

    private static List<FieldChange> compareFields(
            DeclarationKey key, String beforeJson, String afterJson) {
        SortedMap<String, String> before = fieldsOf(key, beforeJson);
        SortedMap<String, String> after = fieldsOf(key, afterJson);
        TreeSet<String> paths = new TreeSet<>(before.keySet());
        paths.addAll(after.keySet());
        List<FieldChange> changes = new ArrayList<>();
        for (String path : paths) {
            String beforeValue = before.getOrDefault(path, "");
            String afterValue = after.getOrDefault(path, "");
            if (!beforeValue.equals(afterValue)) {
                changes.add(new FieldChange(path, beforeValue, afterValue));
            }
        }
        return changes;
    }

    private static SortedMap<String, String> fieldsOf(DeclarationKey key, String json) {
        SortedMap<String, String> fields = new TreeMap<>();
        collectFields("", DeclarationCodec.toTree(DeclarationCodec.read(key, json)), fields);
        return fields;
    }

    private static void collectFields(
            String path, JsonNode node, SortedMap<String, String> fields) {
        if (!node.isObject()) {
            if (!node.isNull()) {
                fields.put(path, node.toString());
            }
            return;
        }
        Iterator<Map.Entry<String, JsonNode>> properties = node.fields();
        while (properties.hasNext()) {
            Map.Entry<String, JsonNode> property = properties.next();
            String child = path.isEmpty() ? property.getKey() : path + "/" + property.getKey();
            collectFields(child, property.getValue(), fields);
        }
    }
}
