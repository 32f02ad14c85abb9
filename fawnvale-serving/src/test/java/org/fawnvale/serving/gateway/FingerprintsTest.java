package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.junit.jupiter.api.Test;

/** Repeats of a request share its fingerprint whatever their ids; other requests don't. */
class FingerprintsTest {

  private static final Workspace GARDEN = new Workspace("garden", 1);

  private static Fingerprint of(String path, String id, Workspace workspace, String body) {
    HttpRequest head = new BasicHttpRequest("POST", path);
    head.addHeader("Host", "care.example");
    head.addHeader("T-Id", id);
    return Fingerprints.of(head, body.getBytes(StandardCharsets.UTF_8), workspace);
  }

  @Test
  void repeatsShareOneFingerprint() {
    Fingerprint first = of("/sheet/", "r1", GARDEN, "rose");
    assertThat(of("/sheet/", "r2", GARDEN, "rose")).isEqualTo(first);
    assertThat(first).hasToString(String.format("%016x", first.value()));
  }

  @Test
  void otherPathWorkspaceOrBodyChangesTheFingerprint() {
    Fingerprint first = of("/sheet/", "r1", GARDEN, "rose");
    assertThat(of("/sheet/2", "r1", GARDEN, "rose")).isNotEqualTo(first);
    assertThat(of("/sheet/", "r1", new Workspace("nursery", 1), "rose")).isNotEqualTo(first);
    assertThat(of("/sheet/", "r1", null, "rose")).isNotEqualTo(first);
    assertThat(of("/sheet/", "r1", GARDEN, "roses")).isNotEqualTo(first);
  }
}
