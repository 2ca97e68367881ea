package org.cardamomthread.experiments.replay;

import java.util.List;
import java.util.Locale;

/** Formats the results of replays as a text table, as CSV and as an SVG bar chart. Immutable. */
final class ReplayReport {

    private static final int BAR_HEIGHT = 16;
    private static final int BAR_WIDTH = 300;
    private static final int LABEL_WIDTH = 220;
    private static final ReplayResult.Measure[] PLOTTED = {
        ReplayResult.Measure.TARGET_SHARE,
        ReplayResult.Measure.PRICE_PER_THOUSAND,
        ReplayResult.Measure.RECOMPUTED_TOKENS
    };

    private final List<ReplayRow> rows;

    ReplayReport(List<ReplayRow> rows) {
        this.rows = List.copyOf(rows);
    }

    /** Returns a table of the mean, minimum and maximum over the seeds. */
    String table() {
        StringBuilder text = new StringBuilder();
        for (ReplayRow row : rows) {
            text.append(row.workload()).append(' ').append(row.strategy()).append('\n');
            for (ReplayResult.Measure measure : ReplayResult.Measure.values()) {
                text.append(
                        String.format(
                                Locale.ROOT,
                                "  %-14s %12s  (%s to %s)%n",
                                measure.title(),
                                number(row.mean(measure)),
                                number(row.min(measure)),
                                number(row.max(measure))));
            }
        }
        return text.toString();
    }

    String csv() {
        StringBuilder text = new StringBuilder("workload,strategy,measure,mean,least,greatest\n");
        for (ReplayRow row : rows) {
            for (ReplayResult.Measure measure : ReplayResult.Measure.values()) {
                text.append(
                        String.format(
                                Locale.ROOT,
                                "%s,%s,%s,%.6f,%.6f,%.6f%n",
                                row.workload(),
                                row.strategy(),
                                measure.title(),
                                row.mean(measure),
                                row.min(measure),
                                row.max(measure)));
            }
        }
        return text.toString();
    }

    /** Returns a bar chart of the main measures, scaled to the largest mean of each workload. */
    String svg() {
        StringBuilder bars = new StringBuilder();
        int y = BAR_HEIGHT;
        for (ReplayResult.Measure measure : PLOTTED) {
            for (ReplayRow row : rows) {
                double largestMean =
                        rows.stream()
                                .filter(other -> other.workload().equals(row.workload()))
                                .mapToDouble(other -> other.mean(measure))
                                .max()
                                .orElse(1);
                double width = BAR_WIDTH * row.mean(measure) / Math.max(largestMean, 1e-9);
                bars.append(formatBar(row, measure, y, width));
                y += BAR_HEIGHT;
            }
            y += BAR_HEIGHT;
        }
        return String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"700\" height=\"%d\""
                        + " font-family=\"sans-serif\" font-size=\"11\">%n%s</svg>%n",
                y,
                bars);
    }

    private static String formatBar(
            ReplayRow row, ReplayResult.Measure measure, int y, double width) {
        return String.format(
                Locale.ROOT,
                "<text x=\"2\" y=\"%d\">%s %s</text><rect x=\"%d\" y=\"%d\" width=\"%.0f\""
                        + " height=\"%d\" fill=\"steelblue\"/><text x=\"%.0f\" y=\"%d\">%s %s"
                        + "</text>%n",
                y + BAR_HEIGHT - 4,
                row.workload(),
                row.strategy(),
                LABEL_WIDTH,
                y,
                width,
                BAR_HEIGHT - 2,
                LABEL_WIDTH + width + 4,
                y + BAR_HEIGHT - 4,
                measure.title(),
                number(row.mean(measure)));
    }

    private static String number(double value) {
        return Math.abs(value) >= 1_000
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, "%.4f", value);
    }
}
