package org.sesamepin.node;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/** Collects the warnings and errors that are logged until it is closed. */
public final class LogLines implements AutoCloseable {
    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> mAppender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
                        mLines.add(event.getFormattedMessage());
                    }
                }
            };

    /** Starts to collect. */
    public LogLines() {
        mAppender.start();
        rootLogger().addAppender(mAppender);
    }

    private static Logger rootLogger() {
        return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    }

    /** Returns the lines so far. */
    public List<String> all() {
        return List.copyOf(mLines);
    }

    @Override
    public void close() {
        rootLogger().detachAppender(mAppender);
    }
}
