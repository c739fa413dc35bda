package org.sesamepin.core.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The result of a check.
 *
 * @param file the path of the file as the user gave it
 * @param findings the findings, sorted by severity
 */
public record CheckReport(String file, List<Finding> findings) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Creates a report and sorts its findings. */
    public CheckReport {
        findings = findings.stream().sorted().distinct().toList();
    }

    /** Returns whether there is a finding of severity error. */
    public boolean hasErrors() {
        return count(Severity.ERROR) > 0;
    }

    /** Returns the number of findings of a severity. */
    public long count(Severity severity) {
        return findings.stream().filter(f -> f.code().severity() == severity).count();
    }

    /** Returns one line for each finding, and a last one with their numbers. */
    public List<String> toLines() {
        List<String> lines = new ArrayList<>();
        findings.forEach(finding -> lines.add(finding.describe(file)));
        lines.add(
                String.format(
                        "%s: %d errors, %d warnings, %d notes",
                        hasErrors() ? "failed" : "ok",
                        count(Severity.ERROR),
                        count(Severity.WARNING),
                        count(Severity.NOTE)));
        return lines;
    }

    /** Returns the report as a JSON object in one line. */
    public String toJson() {
        ObjectNode report = JSON.createObjectNode().put("file", file);
        for (Severity severity : Severity.values()) {
            report.put(severity.label() + "s", count(severity));
        }
        ArrayNode array = report.putArray("findings");
        for (Finding finding : findings) {
            array.addObject()
                    .put("severity", finding.code().severity().label())
                    .put("code", finding.code().label())
                    .put("line", finding.line())
                    .put("entry", finding.entry())
                    .put("text", finding.text());
        }
        try {
            return JSON.writeValueAsString(report);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
