package org.fawnvale.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class IssuedRequestKeysTest {

  private final IssuedRequestKeys keys = IssuedRequestKeys.create("entry-1", "abc");

  @Test
  void aKeyIsUsedOnce() {
    String key = keys.issue();
    assertThat(keys.use(key)).isEqualTo(IssuedRequestKeys.UseResult.FIRST);
    assertThat(keys.use(key)).isEqualTo(IssuedRequestKeys.UseResult.REPEATED);
  }

  @Test
  void aReleasedKeyMayBeUsedAgain() {
    String key = keys.issue();
    keys.use(key);
    keys.release(key);
    assertThat(keys.use(key)).isEqualTo(IssuedRequestKeys.UseResult.FIRST);
  }

  @Test
  void keysOfOtherIssuersAndKeysNeverIssuedAreForeign() {
    keys.issue();
    assertThat(keys.use(IssuedRequestKeys.create("entry-1", "other").issue()))
        .isEqualTo(IssuedRequestKeys.UseResult.FOREIGN);
    assertThat(keys.use("made~entry-1~abc~1")).isEqualTo(IssuedRequestKeys.UseResult.FOREIGN);
    assertThat(keys.use("made~entry-1~abc~-1")).isEqualTo(IssuedRequestKeys.UseResult.FOREIGN);
    assertThat(keys.use("my own key")).isEqualTo(IssuedRequestKeys.UseResult.FOREIGN);
    assertThat(IssuedRequestKeys.issuerOf("my own key")).isEmpty();
  }
}
