package org.fawnvale.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.commons.codec.digest.MurmurHash3;

/** Chained hashes of the fixed-size blocks of a prompt; equal prefixes have equal hashes. */
public final class Prefix {

  /** Block size, in characters. */
  public static final int BLOCK_CHARACTERS = 256;

  /** Maximum number of blocks that are hashed; the rest of a longer prompt is ignored. */
  public static final int MAXIMUM_BLOCKS = 128;

  private final long[] blocks;
  private final int characters;

  private Prefix(long[] blocks, int characters) {
    this.blocks = blocks;
    this.characters = characters;
  }

  /** Computes the hashes of a prompt. */
  public static Prefix of(CharSequence prompt) {
    int count = Math.min(MAXIMUM_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
    long[] blocks = new long[count];
    long previous = 0;
    for (int i = 0; i < count; i++) {
      int start = i * BLOCK_CHARACTERS;
      CharSequence block = prompt.subSequence(start, start + BLOCK_CHARACTERS);
      byte[] bytes = block.toString().getBytes(StandardCharsets.UTF_8);
      previous = MurmurHash3.hash128x64(bytes, 0, bytes.length, (int) previous)[0];
      blocks[i] = previous;
    }
    return new Prefix(blocks, prompt.length());
  }

  /** Returns the hash of each prefix that ends with a whole block, the shortest prefix first. */
  public long[] blocks() {
    return Arrays.copyOf(blocks, blocks.length);
  }

  /** Returns the number of whole blocks, at most {@link #MAXIMUM_BLOCKS}. */
  public int length() {
    return blocks.length;
  }

  /**
   * Returns the hash of one prefix.
   *
   * @param index index of the last block of the prefix, from 0
   */
  public long block(int index) {
    return blocks[index];
  }

  /** Returns the length of the whole prompt, in characters. */
  public int characters() {
    return characters;
  }
}
