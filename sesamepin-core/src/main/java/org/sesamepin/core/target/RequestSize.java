package org.sesamepin.core.target;

/**
 * Tokens that a request declares. They decide most of the work that it is for a target.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens the most tokens of the response
 */
public record RequestSize(int promptTokens, int maxOutputTokens) {
    /** The size of a request that declares no tokens. */
    public static final RequestSize NONE = new RequestSize(0, 0);

    private static final int CLASSES = Integer.SIZE;

    /** Treats negative numbers as none. */
    public RequestSize {
        promptTokens = Math.max(0, promptTokens);
        maxOutputTokens = Math.max(0, maxOutputTokens);
    }

    /** Returns whether the request declares its tokens. */
    public boolean isDeclared() {
        return promptTokens > 0 || maxOutputTokens > 0;
    }

    /**
     * Returns the class of requests that need about the same work: both numbers within a factor 2.
     */
    int sizeClass() {
        return logarithm(promptTokens) * CLASSES + logarithm(maxOutputTokens);
    }

    private static int logarithm(int tokens) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(tokens);
    }
}
