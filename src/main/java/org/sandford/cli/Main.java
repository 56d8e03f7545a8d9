package org.sandford.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.sandford.settings.Settings;
import org.sandford.settings.SettingsException;
import org.sandford.settings.SettingsLoader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command-line entry point. Only this class exits the process. */
@Command(
    name = "sandford",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "Runs one controller of the sandford cluster scheduler.",
    exitCodeOnInvalidInput = 2)
public final class Main implements Callable<Integer> {
  @Option(names = "--config", paramLabel = "FILE", description = "The platform's settings (TOML).")
  private Path config;

  @Option(
      names = "--operators",
      paramLabel = "FILE",
      description = "The operators' settings (INI); defaults apply if omitted.")
  private Path operators;

  @Option(names = "--check", description = "Read and check the settings, then exit.")
  private boolean check;

  @Option(
      names = "--warm-up",
      hidden = true,
      description =
          "Load the classes needed at startup, then exit; used by the build for the class-data archive.")
  private boolean warmUp;

  /** Runs the command line; does not exit while a controller runs. */
  public static void main(String[] args) {
    Logging.configure(System.getenv("LOG_LEVEL"));
    int status = new CommandLine(new Main()).execute(args);
    if (status != Daemon.KEEP_RUNNING) {
      System.exit(status);
    }
  }

  @Override
  public Integer call() {
    if (warmUp) {
      return ArchiveWarmUp.run();
    }
    if (config == null) {
      System.err.println("sandford: --config FILE is required; see --help");
      return 2;
    }
    Settings settings;
    try {
      settings = SettingsLoader.load(config, operators);
    } catch (SettingsException e) {
      System.err.println("sandford: " + e.getMessage());
      return 2;
    }
    if (check) {
      System.out.println("sandford: the settings of " + settings.label() + " are valid");
      return 0;
    }
    return Daemon.run(settings);
  }

  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"sandford " + (version == null ? "(unpackaged)" : version)};
    }
  }
}
