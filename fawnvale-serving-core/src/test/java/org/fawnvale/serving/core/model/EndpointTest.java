package org.fawnvale.serving.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against addresses that are looked up as names when a request is sent there. */
class EndpointTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "999.1.1.1:80",
        "...:80",
        "1.2.3.4.5:80",
        "1.2.3:80",
        "1.2.3.4.:80",
        "01.2.3.4:80",
        "256.0.0.1:80",
        ":80",
        "1.2.3.4",
        "1.2.3.4:0",
        "1.2.3.4:70000",
        "1.2.3.4:-1",
        "1.2.3.4:99999999999999",
        "host:80"
      })
  void textThatIsNoAddressAndPortIsRefused(String text) {
    assertThatThrownBy(() -> Endpoint.parse(text)).isInstanceOf(IllegalArgumentException.class);
  }

  @ParameterizedTest
  @ValueSource(strings = {"0.0.0.0:1", "127.0.0.1:80", "255.249.199.10:65535"})
  void addressAndPortAreRead(String text) {
    assertThat(Endpoint.parse(text)).hasToString(text);
  }
}
