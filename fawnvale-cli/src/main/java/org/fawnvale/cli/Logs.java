package org.fawnvale.cli;

import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.fawnvale.core.settings.DaemonSettings;

/** Sets the logs up: standard error, as text with a prefix for each part or as JSON lines. */
final class Logs {

  private static final String PATTERN = "%d{ISO8601} %-5level [%logger] %msg%n%xEx";

  private static final String LINES =
      "{\"t\":\"%d{HH:mm:ss.SSS}\",\"level\":\"%level\",\"part\":\"%logger\","
          + "\"msg\":\"%enc{%msg}{JSON}\"}%n";
  private static final int QUEUED_LINES = 2048;

  private Logs() {}

  /**
   * Writes JSON lines to standard output through a bounded queue; lines that find it full are
   * dropped rather than waited for.
   */
  static void configureLines() {
    ConfigurationBuilder<BuiltConfiguration> builder =
        ConfigurationBuilderFactory.newConfigurationBuilder();
    builder.setStatusLevel(Level.ERROR);
    builder.setShutdownHook("disable");
    LayoutComponentBuilder layout =
        builder.newLayout("PatternLayout").addAttribute("pattern", LINES);
    builder.add(
        builder.newAppender("stdout", "Console").addAttribute("target", "SYSTEM_OUT").add(layout));
    builder.add(
        builder
            .newAppender("queue", "Async")
            .addAttribute("blocking", false)
            .addAttribute("bufferSize", QUEUED_LINES)
            .addComponent(builder.newAppenderRef("stdout")));
    builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef("queue")));
    Configurator.reconfigure(builder.build());
  }

  static void configure(DaemonSettings.LogSettings settings) {
    ConfigurationBuilder<BuiltConfiguration> builder =
        ConfigurationBuilderFactory.newConfigurationBuilder();
    builder.setStatusLevel(Level.ERROR);
    builder.setShutdownHook("disable");
    LayoutComponentBuilder layout =
        "json".equals(settings.format())
            ? builder
                .newLayout("JsonTemplateLayout")
                .addAttribute("eventTemplateUri", "classpath:EcsLayout.json")
            : builder.newLayout("PatternLayout").addAttribute("pattern", PATTERN);
    AppenderComponentBuilder appender =
        builder.newAppender("stderr", "Console").addAttribute("target", "SYSTEM_ERR").add(layout);
    builder.add(appender);
    Level level = Level.valueOf(settings.level().toUpperCase(Locale.ROOT));
    builder.add(builder.newRootLogger(level).add(builder.newAppenderRef("stderr")));
    builder.add(builder.newLogger("com.networknt", Level.WARN));
    Configurator.reconfigure(builder.build());
  }
}
