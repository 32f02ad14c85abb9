package org.fawnvale.serving.peer;

import java.io.IOException;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the positions of a daemon's copies of the store's objects as MessagePack. */
public final class CopyPositionsCodec {

  private CopyPositionsCodec() {}

  static void write(MessageBufferPacker packer, CopyPositions positions) throws IOException {
    writePosition(packer, positions.configuration());
    packer.packLong(positions.version());
    writePosition(packer, positions.nodes());
  }

  /**
   * Writes one position: its era, then its revision.
   *
   * @param packer receives it
   * @param position the position
   * @throws IOException when it can't be written
   */
  public static void writePosition(MessageBufferPacker packer, StorePosition position)
      throws IOException {
    packer.packLong(position.era().number());
    packer.packLong(position.revision());
  }

  static CopyPositions read(MessageUnpacker in) throws IOException {
    StorePosition configuration = readPosition(in);
    long version = in.unpackLong();
    return new CopyPositions(configuration, version, readPosition(in));
  }

  /**
   * Reads what {@link #writePosition} has written.
   *
   * @param in the source
   * @return the position
   * @throws IOException when there is none
   */
  public static StorePosition readPosition(MessageUnpacker in) throws IOException {
    StoreEra era = new StoreEra(in.unpackLong());
    return new StorePosition(era, in.unpackLong());
  }
}
