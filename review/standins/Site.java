import java.util.ArrayList;
import java.util.List;

/** The settings of a deployment, after the users' brief. */
record Site(
    String name,
    List<String> zones,
    List<String> teams,
    double cpus,
    double cpusMax,
    double reportS,
    double leaseS,
    double cancelS,
    double stateRps,
    double stateWriteRps,
    double valueKb,
    int txnOps,
    double cloudRps,
    double listLagS,
    double memMb,
    int sockets) {
  static final Site JAGUARIBE =
      new Site(
          "jaguaribe-fabrica",
          List.of("serra", "litoral"),
          teams("projeto-rotor", 8),
          40,
          112,
          2,
          16,
          46,
          250,
          50,
          16,
          24,
          2,
          5,
          205,
          900);

  static final Site PATIKA =
      new Site(
          "patika-koop",
          List.of("ova", "yayla", "kiyi"),
          teams("harita-ekibi", 6),
          32,
          56,
          3,
          26,
          56,
          100,
          20,
          8,
          16,
          5,
          8,
          263,
          2500);

  private static List<String> teams(String prefix, int count) {
    List<String> teams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      teams.add(prefix + "-0" + i);
    }
    return List.copyOf(teams);
  }
}
