package org.fawnvale.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.check.CheckedDocument;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.Daemon;
import org.fawnvale.daemon.Keys;
import org.fawnvale.kernel.ServiceException;

/** Runs an entry daemon until SIGTERM or, if so configured, the end of standard input. */
final class ServeCommand {

  private static final Logger LOG = LogManager.getLogger("daemon");

  private ServeCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser serve =
        subparsers
            .addParser("serve")
            .help("run an entry daemon")
            .description(
                "Runs an entry daemon. SIGTERM stops it: readiness turns false, requests in "
                    + "progress finish, the lease is released, and it exits with 0.")
            .epilog("Example: fawnvale serve --settings entry-1.json");
    serve.addArgument("--settings").required(true).metavar("FILE").help("the settings file");
    serve
        .addArgument("--until-input-ends")
        .action(Arguments.storeTrue())
        .help("also stop at the end of standard input");
    serve.setDefault("command", "serve");
    commands.put("serve", ServeCommand::run);
  }

  private static ExitCode run(Namespace options, Console console) {
    CheckedDocument<DaemonSettings> checked = SettingsCommand.read(options.getString("settings"));
    DaemonSettings settings = checked.value();
    if (settings == null) {
      console.print(checked.problems());
      return ExitCode.BAD_USAGE;
    }
    Logs.configure(settings.log());
    return Keys.read(settings.keyFiles())
        .fold(
            keys -> serve(settings, keys, options.getBoolean("until_input_ends"), console),
            problem -> {
              console.print(List.of(problem));
              return ExitCode.BAD_USAGE;
            });
  }

  private static ExitCode serve(
      DaemonSettings settings, Keys keys, boolean untilInputEnds, Console console) {
    CountDownLatch stopRequested = new CountDownLatch(1);
    try {
      Daemon daemon = Daemon.create(settings, keys);
      daemon.start();
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> requestStopAndBlock(stopRequested), "stop"));
      if (untilInputEnds) {
        watchInput(stopRequested);
      }
      console.line("serving " + daemon.ports());
      stopRequested.await();
      daemon.stop();
      LogManager.shutdown();
      return ExitCode.DONE;
    } catch (ServiceException e) {
      LOG.error("The daemon cannot start: {} Cause: {}.", e.getMessage(), e.getCause());
      console.err().println("fawnvale: " + e.getMessage());
      return ExitCode.REFUSED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.REFUSED;
    } finally {
      Runtime.getRuntime().halt(stopRequested.getCount() == 0 ? 0 : ExitCode.REFUSED.code());
    }
  }

  /**
   * Requests the stop and blocks the shutdown hook. The main thread then stops the daemon and halts
   * the process.
   */
  private static void requestStopAndBlock(CountDownLatch stopRequested) {
    stopRequested.countDown();
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void watchInput(CountDownLatch stopRequested) {
    Thread watcher =
        new Thread(
            () -> {
              try {
                byte[] buffer = new byte[64];
                int length = System.in.read(buffer);
                while (length >= 0) {
                  length = System.in.read(buffer);
                }
              } catch (IOException e) {
                LOG.debug("Reading standard input failed.", e);
              }
              stopRequested.countDown();
            },
            "input");
    watcher.setDaemon(true);
    watcher.start();
  }
}
