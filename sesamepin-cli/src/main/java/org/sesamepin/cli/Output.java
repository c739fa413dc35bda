package org.sesamepin.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints the output of a command: lines and aligned tables. */
public final class Output {
    private final PrintStream mOut;

    /** Creates an output that prints to {@code out}. */
    public Output(PrintStream out) {
        mOut = out;
    }

    /** Prints one line. */
    public void printLine(String text) {
        mOut.println(text);
        mOut.flush();
    }

    /** Prints a heading and rows in aligned columns; each row has as many cells as the heading. */
    void printTable(List<String> heading, List<List<String>> rows) {
        List<List<String>> allRows = new ArrayList<>();
        allRows.add(heading);
        allRows.addAll(rows);
        int[] widths = new int[heading.size()];
        for (List<String> row : allRows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : allRows) {
            StringBuilder rowText = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                rowText.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            printLine(rowText.toString().stripTrailing());
        }
    }
}
