package org.sesamepin.node;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process after an error of the virtual machine, such as a lack of memory: components may
 * be left without a timer or a response, so that the process looks alive but serves nothing. The
 * JVM option {@code ExitOnOutOfMemoryError} does not cover errors that are thrown by Java code,
 * such as a lack of memory outside the heap.
 */
public final class FatalErrors {
    /** Exit status of the process, the one that {@code ExitOnOutOfMemoryError} uses as well. */
    public static final int EXIT_STATUS = 3;

    private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);
    private static final int MAX_CAUSES = 8;

    private FatalErrors() {}

    /**
     * Ends the process when a thread, or a task or handler of {@code vertx}, meets such an error.
     */
    public static void install(Vertx vertx) {
        vertx.exceptionHandler(FatalErrors::onUnhandled);
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> onUnhandled(error));
    }

    private static void onUnhandled(Throwable error) {
        endProcessIfFatal(error);
        LOG.error("step=process outcome=unhandled-failure", error);
    }

    /**
     * Ends the process at once, without its shutdown hooks, when {@code error} is such an error.
     */
    public static void endProcessIfFatal(Throwable error) {
        if (!isFatal(error)) {
            return;
        }
        // Not the logger: its queue and its thread may lack memory, too.
        System.err.println("sesamepin: fatal error, the process ends: " + error);
        Runtime.getRuntime().halt(EXIT_STATUS);
    }

    /** Returns whether an error or one of its causes leaves the process in an unknown state. */
    static boolean isFatal(Throwable error) {
        @Nullable Throwable cause = error;
        for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
            if (cause instanceof VirtualMachineError && !(cause instanceof StackOverflowError)) {
                return true;
            }
            cause = cause.getCause();
        }
        return false;
    }
}
