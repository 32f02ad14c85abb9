package org.fawnvale.http.core;

import java.nio.charset.StandardCharsets;

/** Texts in heads; a character stands for one byte there. */
public final class HeadText {

  private static final char LAST_ASCII = 0x7f;

  private HeadText() {}

  /**
   * Returns whether a head may hold a text: it has no control characters, which would end a line or
   * a value.
   *
   * @param text the text
   * @return false if the text must not be written
   */
  public static boolean isWritable(CharSequence text) {
    return Characters.areText(text, 0);
  }

  /**
   * Returns a text as heads hold it: each byte of its UTF-8 form as one character. Heads that are
   * received are in this form already.
   *
   * @param text any text
   * @return the text itself if it is ASCII
   */
  public static String utf8(String text) {
    for (int index = 0; index < text.length(); index++) {
      if (text.charAt(index) > LAST_ASCII) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new String(bytes, StandardCharsets.ISO_8859_1);
      }
    }
    return text;
  }
}
