package org.sesamepin.node.prompt;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.Suspect;
import org.sesamepin.core.prompt.TargetEnd;
import org.sesamepin.node.peer.generated.ItemProbeState;
import org.sesamepin.node.peer.generated.PromptQuarantineEntry;
import org.sesamepin.node.peer.generated.PromptRun;
import org.sesamepin.node.peer.generated.TargetEndReport;

/** Converts evidence about prompts between the core's types and the messages of peers. */
final class PromptMessages {
    private PromptMessages() {}

    static TargetEndReport encode(TargetEnd end) {
        List<PromptRun> runs = new ArrayList<>();
        end.runs().forEach(run -> runs.add(new PromptRun(run.parts().shared(), run.weight())));
        return new TargetEndReport(end.service(), end.target(), runs);
    }

    static TargetEnd decode(TargetEndReport report) {
        List<TargetEnd.Run> runs = new ArrayList<>();
        report.getRuns()
                .forEach(
                        run ->
                                runs.add(
                                        new TargetEnd.Run(
                                                new PromptParts(run.getParts()), run.getWeight())));
        return new TargetEnd(report.getServiceName(), report.getTarget(), runs);
    }

    static PromptQuarantineEntry encode(PromptQuarantine.Entry entry) {
        ItemProbeState probes =
                new ItemProbeState(
                        entry.probeClaims(),
                        entry.failedProbes(),
                        entry.nextProbeMs(),
                        entry.probeTarget());
        return new PromptQuarantineEntry(
                        entry.suspect().service(),
                        List.copyOf(entry.suspect().parts()),
                        entry.sinceMs(),
                        entry.untilMs())
                .setItemProbes(probes);
    }

    static PromptQuarantine.Entry decode(PromptQuarantineEntry entry) {
        PromptQuarantine.Entry decoded =
                new PromptQuarantine.Entry(
                        new Suspect(entry.getServiceName(), new HashSet<>(entry.getParts())),
                        entry.getSinceMs(),
                        entry.getUntilMs());
        ItemProbeState probes = entry.getItemProbes();
        if (probes == null) {
            return decoded;
        }
        return new PromptQuarantine.Entry(
                decoded.suspect(),
                decoded.sinceMs(),
                decoded.untilMs(),
                probes.getClaims(),
                probes.getFailures(),
                probes.getNextMs(),
                probes.getTarget());
    }
}
