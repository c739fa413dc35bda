package org.sesamepin.core.prompt;

import java.util.Collections;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

/**
 * Parts that prompts for one service have in common and under which targets ended. More than one
 * part when they always came together, so that the ends do not tell which of them is the cause.
 *
 * @param service the service
 * @param parts the parts; a request matches when its prompt has all of them
 */
public record Suspect(String service, Set<String> parts) implements Comparable<Suspect> {
    private static final Comparator<Suspect> ORDER =
            Comparator.comparing(Suspect::service).thenComparing(Suspect::label);

    /** Copies the set in a fixed order. */
    public Suspect {
        parts = Collections.unmodifiableSet(new TreeSet<>(parts));
    }

    /** Returns whether a request of {@code requestService} with {@code prompt} has these parts. */
    public boolean matches(String requestService, PromptParts prompt) {
        return service.equals(requestService) && prompt.shared().containsAll(parts);
    }

    /** Returns whether only requests with one content can match. */
    public boolean isContent() {
        return parts.stream().anyMatch(PromptParts::isWhole);
    }

    /** Returns whether only one item of a job can match. */
    public boolean isSingleItem() {
        return parts.stream().anyMatch(PromptParts::isItem);
    }

    /** Returns the parts for a log line and for keys, separated by {@code +}. */
    public String label() {
        return String.join("+", parts);
    }

    @Override
    public int compareTo(Suspect other) {
        return ORDER.compare(this, other);
    }
}
