import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Renders the settings template of the deploy file: values, sections, lists and commas. */
final class Template {

    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([A-Za-z.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([A-Za-z0-9.]+)\\}\\}");

    private Template() {}

    static String render(String template, Map<String, Object> fields) {
        Matcher sections = SECTION.matcher(template);
        StringBuilder text = new StringBuilder();
        while (sections.find()) {
            Object value = find(sections.group(1), fields);
            sections.appendReplacement(
                    text, Matcher.quoteReplacement(renderSection(sections.group(2), value)));
        }
        sections.appendTail(text);
        Matcher values = VALUE.matcher(text.toString());
        StringBuilder result = new StringBuilder();
        while (values.find()) {
            Object value = find(values.group(1), fields);
            values.appendReplacement(
                    result, Matcher.quoteReplacement(value == null ? "" : value.toString()));
        }
        values.appendTail(result);
        return result.toString();
    }

    private static String renderSection(String content, Object value) {
        if (value == null || Boolean.FALSE.equals(value)) {
            return "";
        }
        List<?> entries = value instanceof List<?> list ? list : List.of(value);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < entries.size(); i++) {
            text.append(
                    content.replace("{{.}}", entries.get(i).toString())
                            .replace("{{,}}", i + 1 < entries.size() ? "," : ""));
        }
        return text.toString();
    }

    private static Object find(String path, Map<String, Object> fields) {
        Object value = fields;
        for (String name : path.split("\\.")) {
            if (value instanceof Map<?, ?> map) {
                value = map.get(name);
            } else if (value instanceof List<?> list) {
                value = list.get(Integer.parseInt(name));
            } else {
                return null;
            }
        }
        return value;
    }
}
