package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Guards against soaks whose daemons answer each other's callers. */
class NetworkClaimTest {

  private static final int NETWORK = 251;

  @Test
  void secondSoakOfANetworkDoesNotStart() throws Exception {
    boolean ran = NetworkClaim.during(NETWORK, NetworkClaimTest::claimsOthersOnly);
    assertThat(ran).isTrue();
    assertThat(NetworkClaim.during(NETWORK, () -> true)).isTrue();
  }

  private static boolean claimsOthersOnly() throws IOException, InterruptedException {
    assertThatThrownBy(() -> NetworkClaim.during(NETWORK, () -> true))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("--network");
    return NetworkClaim.during(NETWORK + 1, () -> true);
  }
}
