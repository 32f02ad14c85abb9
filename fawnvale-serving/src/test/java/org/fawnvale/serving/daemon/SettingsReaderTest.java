package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Parsing and validation of settings; error messages name key, value and remedy. */
class SettingsReaderTest {

  static final String VALID =
      """
      {"name": "edge-1", "address": "127.0.0.1", "dataCentre": "a",
       "listen": {"frontend": "127.0.0.1:1", "ready": "127.0.0.1:2", "metrics": "127.0.0.1:3"},
       "peers": {"port": 7340, "seeds": ["127.0.0.2:9", "127.0.0.3:9"]},
       "store": {"address": "127.0.0.1:4"},
       "bounds": {"stallMillis": 4000, "graceSeconds": 8, "retryRatio": 0.2, "retrySlack": 136,
                  "retryWindowSeconds": 10, "loadWindowSeconds": 5,
                  "leavingMillis": 2000},
       "unknown": true}
      """;

  @TempDir Path folder;

  private Settings read(String text) throws IOException, SettingsReader.BadSettingsException {
    Path file = folder.resolve("settings.json");
    Files.writeString(file, text);
    return SettingsReader.read(file);
  }

  @Test
  void readsValidSettingsAndIgnoresUnknownKeys() throws Exception {
    Settings settings = read(VALID);
    assertThat(settings.name()).isEqualTo("edge-1");
    assertThat(settings.seedHosts()).containsExactly("127.0.0.2", "127.0.0.3");
    assertThat(settings.bounds().graceMillis()).isEqualTo(8000);
    assertThat(settings.bounds().leavingMillis()).isEqualTo(2000);
  }

  /** SIGHUP may come while another program writes the file. */
  @Test
  void halfWrittenSettingsAreRefusedWhereverTheFileEnds() throws Exception {
    byte[] whole = VALID.strip().getBytes(StandardCharsets.UTF_8);
    Path file = folder.resolve("written.json");
    for (int length = 0; length < whole.length; length++) {
      Files.write(file, Arrays.copyOf(whole, length));
      assertThatThrownBy(() -> SettingsReader.read(file))
          .as("%d bytes", length)
          .isInstanceOf(SettingsReader.BadSettingsException.class)
          .hasMessageContaining("Correct the file.");
    }
    Files.write(file, whole);
    assertThat(SettingsReader.read(file).name()).isEqualTo("edge-1");
  }

  @Test
  void settingsOfOtherFormsAreRefused() {
    String deep = "[".repeat(200_000) + "]".repeat(200_000);
    for (String other : List.of("null", "[]", "7", "{}", deep, VALID + "}", "\u0000")) {
      assertThatThrownBy(() -> read(other)).isInstanceOf(SettingsReader.BadSettingsException.class);
    }
    for (String figure : List.of("1e999", "-1", "1e999999999", "\"NaN\"", "9".repeat(1_000))) {
      assertThatThrownBy(
              () -> read(VALID.replace("\"retryRatio\": 0.2", "\"retryRatio\": " + figure)))
          .as(figure)
          .isInstanceOf(SettingsReader.BadSettingsException.class)
          .hasMessageContaining("bounds.retryRatio = ");
      assertThatThrownBy(
              () -> read(VALID.replace("\"graceSeconds\": 8", "\"graceSeconds\": " + figure)))
          .as(figure)
          .isInstanceOf(SettingsReader.BadSettingsException.class)
          .hasMessageContaining("bounds.graceSeconds = ");
    }
    assertThatThrownBy(
            () -> read(VALID.replace("\"graceSeconds\": 8", "\"graceSeconds\": 3000000")))
        .hasMessageContaining("bounds.graceSeconds = 3000000");
    assertThatThrownBy(() -> read(VALID.replace("7340", "70000")))
        .hasMessageContaining("peers.port = 70000");
  }

  @Test
  void firstStartIsTrueByDefault() throws Exception {
    assertThat(read(VALID).firstStart()).isTrue();
    assertThat(read(VALID.replace("\"unknown\": true", "\"firstStart\": false")).firstStart())
        .isFalse();
    assertThatThrownBy(() -> read(VALID.replace("\"unknown\": true", "\"firstStart\": 1")))
        .hasMessageContaining("firstStart = 1")
        .hasMessageContaining("Write true or false.");
  }

  @Test
  void reportsAllErrorsAtOnce() {
    String invalid = VALID.replace("\"edge-1\"", "7").replace("\"127.0.0.1:4\"", "\"nowhere\"");
    assertThatThrownBy(() -> read(invalid))
        .hasMessageContaining("name = 7")
        .hasMessageContaining("store.address = nowhere")
        .hasMessageContaining("Write it as IP:PORT.");
  }

  @Test
  void policySwitchesAreOnByDefault() throws Exception {
    assertThat(read(VALID).policy()).isEqualTo(Policy.DEFAULT);
    Policy policy =
        read(VALID.replace("\"unknown\": true", "\"policy\": {\"exchange\": false}")).policy();
    assertThat(policy.exchange()).isFalse();
    assertThat(policy.secondModel()).isTrue();
  }

  @Test
  void partsThatNoSettingNamesAreOff() throws Exception {
    Settings settings = read(VALID);
    assertThat(settings.bounds().evacuationMillis()).isZero();
    assertThat(settings.policy().admission()).isFalse();
    assertThat(settings.policy().pace()).isFalse();
    assertThat(settings.policy().shortage()).isFalse();
    assertThat(settings.callerBuffers())
        .isEqualTo(Settings.CallerBuffers.ofHeap(Runtime.getRuntime().maxMemory()));
    assertThat(settings.waiting()).isEqualTo(new Settings.Waiting(0, 1_500));
  }

  @Test
  void boundsOfTheQueueAreReadAndChecked() throws Exception {
    String waiting = "\"waiting\": {\"requests\": %s, \"millis\": %s}";
    String valid = VALID.replace("\"unknown\": true", String.format(waiting, 10_000, 1));
    assertThat(read(valid).waiting()).isEqualTo(new Settings.Waiting(10_000, 1));
    String invalid = VALID.replace("\"unknown\": true", String.format(waiting, 0.5, 5_001));
    assertThatThrownBy(() -> read(invalid))
        .hasMessageContaining("waiting.requests = 0.5: not in range. Write a whole number from 0")
        .hasMessageContaining("waiting.millis = 5001: not in range. Write a whole number from 1");
  }

  @Test
  void optionalPartsAreReadAndChecked() throws Exception {
    Settings settings =
        read(
            VALID
                .replace("2000}", "2000, \"evacuationMillis\": 5000}")
                .replace(
                    "\"unknown\": true",
                    "\"policy\": {\"pace\": true, \"shortage\": true}, \"callerBuffers\": {\"perCallerBytes\": 9}"));
    assertThat(settings.bounds().evacuationMillis()).isEqualTo(5_000);
    assertThat(settings.policy().pace()).isTrue();
    assertThat(settings.policy().shortage()).isTrue();
    assertThat(settings.callerBuffers().perCallerBytes()).isEqualTo(9);
    String invalid =
        VALID.replace("\"unknown\": true", "\"callerBuffers\": {\"stalledMillis\": 0}");
    assertThatThrownBy(() -> read(invalid))
        .hasMessageContaining("callerBuffers.stalledMillis = 0")
        .hasMessageContaining("Write a whole number above 0.");
  }

  @Test
  void reportsUnknownAndNonBooleanPolicySwitches() {
    String invalid =
        VALID.replace("\"unknown\": true", "\"policy\": {\"exchanges\": false, \"exchange\": 1}");
    assertThatThrownBy(() -> read(invalid))
        .hasMessageContaining("policy.exchanges: unknown switch.")
        .hasMessageContaining("policy.exchange = 1")
        .hasMessageContaining("Write true or false.");
  }

  @Test
  void reportsMalformedJson() {
    assertThatThrownBy(() -> read("{")).hasMessageContaining("is not JSON");
  }
}
