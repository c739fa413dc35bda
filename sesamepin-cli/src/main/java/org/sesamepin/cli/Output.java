package org.sesamepin.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints lines and tables for people, and JSON for programs. */
public final class Output {
    private final PrintStream mOut;

    Output(PrintStream out) {
        mOut = out;
    }

    /** Prints one line. */
    public void line(String text) {
        mOut.println(text);
        mOut.flush();
    }

    /** Prints rows under a heading, in aligned columns. */
    void printTable(List<String> heading, List<List<String>> rows) {
        List<List<String>> all = new ArrayList<>();
        all.add(heading);
        all.addAll(rows);
        int[] widths = new int[heading.size()];
        for (List<String> row : all) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : all) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                text.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            line(text.toString().stripTrailing());
        }
    }
}
