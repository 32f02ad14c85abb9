import java.nio.file.Path;

/** Runs a case and exits with 1 if its rule was broken, 0 if it held and 2 if it couldn't run. */
final class Cases {

  /** A case. */
  interface Case {
    boolean isBroken(Record record, boolean troubled) throws Exception;
  }

  private Cases() {}

  public static void main(String[] arguments) throws Exception {
    boolean troubled = !"0".equals(System.getenv("TROUBLE"));
    Record record = new Record();
    int status;
    try {
      Case chosen =
          switch (arguments[0]) {
            case "late-rejection" -> LateRejection::isBroken;
            case "endless-events" -> EndlessEvents::isBroken;
            case "spot-end" -> SpotEnd::isBroken;
            case "configuration-behind" -> ConfigurationBehind::isBroken;
            default -> throw new IllegalArgumentException(arguments[0]);
          };
      status = chosen.isBroken(record, troubled) ? 1 : 0;
    } catch (Exception | Error e) {
      record.note("could not run: " + e);
      e.printStackTrace();
      status = 2;
    }
    record.write(Path.of(arguments[1]));
    System.out.println(record.last());
    System.exit(status);
  }
}
