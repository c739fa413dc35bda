package org.sesamepin.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import java.util.function.LongSupplier;
import org.sesamepin.node.settings.LogFormat;
import org.slf4j.LoggerFactory;

/** Configures logging for a command after {@link LogConfigurator} has set the default. */
public final class Logging {
    private static final int LOG_QUEUE_LINES = 4_096;

    private Logging() {}

    private static Logger rootLogger() {
        return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    }

    /**
     * Writes log lines to standard output through a bounded queue. A full queue drops lines instead
     * of blocking the threads that log.
     *
     * @return a supplier of the number of lines dropped so far
     */
    public static LongSupplier toStandardOutput() {
        Logger rootLogger = rootLogger();
        LoggerContext context = rootLogger.getLoggerContext();
        BoundedLogQueue queue = new BoundedLogQueue(context, LOG_QUEUE_LINES);
        queue.addAppender(
                LogConfigurator.console(
                        context, "System.out", LogConfigurator.textEncoder(context)));
        queue.start();
        rootLogger.detachAndStopAllAppenders();
        rootLogger.addAppender(queue);
        rootLogger.setLevel(Level.INFO);
        return queue::droppedCount;
    }

    /** Writes all queued lines and stops logging; lines that are logged afterwards are lost. */
    public static void flush() {
        rootLogger().getLoggerContext().stop();
    }

    /** Sets the format and the lowest level of the log lines. */
    static void configure(LogFormat format, String level) {
        Logger rootLogger = rootLogger();
        rootLogger.setLevel(Level.toLevel(level));
        if (format == LogFormat.JSON) {
            LoggerContext context = rootLogger.getLoggerContext();
            rootLogger.detachAndStopAllAppenders();
            rootLogger.addAppender(
                    LogConfigurator.console(
                            context, "System.err", LogConfigurator.jsonEncoder(context)));
        }
    }
}
