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

/** Compares two sets of declarations. Stateless and safe for use by several threads. */
public final class DeclarationsDifference {

    private DeclarationsDifference() {}

    /**
     * Lists the changes that lead from one set to another.
     *
     * @param before the set before
     * @param after the set after
     * @return one change for each declaration that differs, in the order of keys
     */
    public static List<DeclarationChange> between(Declarations before, Declarations after) {
        SortedMap<DeclarationKey, String> beforeTexts = before.canonicalJsonByKey();
        SortedMap<DeclarationKey, String> afterTexts = after.canonicalJsonByKey();
        TreeSet<DeclarationKey> keys = new TreeSet<>(beforeTexts.keySet());
        keys.addAll(afterTexts.keySet());
        List<DeclarationChange> changes = new ArrayList<>();
        for (DeclarationKey key : keys) {
            String beforeText = beforeTexts.get(key);
            String afterText = afterTexts.get(key);
            if (beforeText == null) {
                changes.add(new DeclarationChange(Type.ADDED, key, List.of()));
            } else if (afterText == null) {
                changes.add(new DeclarationChange(Type.REMOVED, key, List.of()));
            } else if (!beforeText.equals(afterText)) {
                changes.add(
                        new DeclarationChange(
                                Type.CHANGED, key, compareFields(key, beforeText, afterText)));
            }
        }
        return changes;
    }

    private static List<FieldChange> compareFields(
            DeclarationKey key, String beforeText, String afterText) {
        SortedMap<String, String> before = fieldsOf(key, beforeText);
        SortedMap<String, String> after = fieldsOf(key, afterText);
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

    private static SortedMap<String, String> fieldsOf(DeclarationKey key, String text) {
        SortedMap<String, String> fields = new TreeMap<>();
        collectFields("", DeclarationCodec.toTree(DeclarationCodec.read(key, text)), fields);
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
        Iterator<Map.Entry<String, JsonNode>> members = node.fields();
        while (members.hasNext()) {
            Map.Entry<String, JsonNode> member = members.next();
            String child = path.isEmpty() ? member.getKey() : path + "/" + member.getKey();
            collectFields(child, member.getValue(), fields);
        }
    }
}
