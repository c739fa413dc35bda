package org.sesamepin.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import org.sesamepin.node.settings.LogFormat;
import org.slf4j.LoggerFactory;

/** Applies the log settings of a node. */
final class Logging {
    private Logging() {}

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
