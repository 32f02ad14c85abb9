package org.fawnvale.serving.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.config.Property;

/** Captures the lines that a logger writes at level INFO and above. */
final class CapturedLog implements AutoCloseable {

  private final String logger;
  private final List<Line> lines = new CopyOnWriteArrayList<>();
  private final LoggerContext context = (LoggerContext) LogManager.getContext(false);

  record Line(Level level, String text) {}

  private final class Appender extends AbstractAppender {

    Appender() {
      super("captured", null, null, true, Property.EMPTY_ARRAY);
    }

    @Override
    public void append(LogEvent event) {
      lines.add(new Line(event.getLevel(), event.getMessage().getFormattedMessage()));
    }
  }

  CapturedLog(String logger) {
    this.logger = logger;
    Appender appender = new Appender();
    appender.start();
    LoggerConfig config = new LoggerConfig(logger, Level.INFO, false);
    config.addAppender(appender, Level.INFO, null);
    context.getConfiguration().addLogger(logger, config);
    context.updateLoggers();
  }

  /** Returns the lines that contain a text. */
  List<Line> linesWith(String text) {
    return lines.stream().filter(line -> line.text().contains(text)).toList();
  }

  /** Waits for the first line that contains a text. */
  Line await(String text) throws InterruptedException {
    while (linesWith(text).isEmpty()) {
      Thread.sleep(1);
    }
    return linesWith(text).get(0);
  }

  @Override
  public void close() {
    context.getConfiguration().removeLogger(logger);
    context.updateLoggers();
  }
}
