package org.sesamepin.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Configures Logback without a configuration file, because parsing one takes a third of the start
 * time of the daemon. Warnings and errors are written as text to standard error until a command
 * configures logging itself.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    private static final String PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%logger{0} %msg%n%ex{full}";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        context.getLogger("io.netty").setLevel(Level.WARN);
        ch.qos.logback.classic.Logger rootLogger = context.getLogger(Logger.ROOT_LOGGER_NAME);
        rootLogger.setLevel(Level.WARN);
        rootLogger.addAppender(console(context, "System.err", textEncoder(context)));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Returns a started appender to the stream {@code target}, for example {@code System.out}. */
    static ConsoleAppender<ILoggingEvent> console(
            LoggerContext context, String target, Encoder<ILoggingEvent> encoder) {
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget(target);
        console.setEncoder(encoder);
        console.start();
        return console;
    }

    /** Returns an encoder that writes one line of text per event. */
    static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }

    /** Returns an encoder that writes one JSON object per line. */
    static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithContext(false);
        encoder.start();
        return encoder;
    }
}
