package org.sesamepin.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import java.util.function.LongSupplier;
import org.sesamepin.node.settings.LogFormat;
import org.slf4j.LoggerFactory;

/** Applies the log settings of a node. */
public final class Logging {
    private static final int LOG_QUEUE_LINES = 4_096;

    private Logging() {}

    private static Logger rootLogger() {
        return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    }

    /**
     * Sends all lines to standard output through a bounded queue. A full queue drops lines instead
     * of holding up the program.
     *
     * @return the number of lines dropped so far
     */
    public static LongSupplier toStandardOutput() {
        Logger root = rootLogger();
        LoggerContext context = root.getLoggerContext();
        BoundedLogQueue queue = new BoundedLogQueue(context, LOG_QUEUE_LINES);
        queue.addAppender(
                LogConfigurator.console(
                        context, "System.out", LogConfigurator.textEncoder(context)));
        queue.start();
        root.detachAndStopAllAppenders();
        root.addAppender(queue);
        root.setLevel(Level.INFO);
        return queue::droppedCount;
    }

    /** Writes the lines that are queued; nothing can be logged afterwards. */
    public static void flush() {
        rootLogger().getLoggerContext().stop();
    }

    /** Sets the form and the least level of the log lines. */
    static void configure(LogFormat format, String level) {
        Logger root = rootLogger();
        root.setLevel(Level.toLevel(level));
        if (format == LogFormat.JSON) {
            LoggerContext context = root.getLoggerContext();
            root.detachAndStopAllAppenders();
            root.addAppender(
                    LogConfigurator.console(
                            context, "System.err", LogConfigurator.jsonEncoder(context)));
        }
    }
}
