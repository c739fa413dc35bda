package org.sesamepin.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import org.sesamepin.node.settings.LogFormat;
import org.slf4j.LoggerFactory;

/** Applies the log settings of a node. */
public final class Logging {
    private static final int QUEUE_LINES = 4_096;
    private static final String PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%logger{0} %msg%n%ex{full}";

    private Logging() {}

    /**
     * Sends all lines to standard output through a bounded queue. A full queue drops lines instead
     * of holding up the program.
     */
    public static void toStandardOutput() {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(root.getLoggerContext());
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(root.getLoggerContext());
        console.setTarget("System.out");
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(root.getLoggerContext());
        queue.setQueueSize(QUEUE_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        root.detachAndStopAllAppenders();
        root.addAppender(queue);
        root.setLevel(Level.INFO);
    }

    /** Writes the lines that are queued; nothing can be logged afterwards. */
    public static void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    /** Sets the form and the least level of the log lines. */
    static void configure(LogFormat format, String level) {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level));
        if (format == LogFormat.JSON) {
            Logger template = (Logger) LoggerFactory.getLogger("json-template");
            Appender<ILoggingEvent> json = template.getAppender("JSON");
            root.detachAppender("TEXT");
            root.addAppender(json);
        }
    }
}
