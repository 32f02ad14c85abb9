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

/** Configures Log4j for {@code serve}: standard error, as text or as JSON lines. */
final class Logs {

  private static final String PATTERN = "%d{ISO8601} %-5level [%logger] %msg%n%xEx";

  private Logs() {}

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
