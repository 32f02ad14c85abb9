package org.fawnvale.serving.peer;

import java.io.IOException;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** What a daemon's copies of the store's objects show, as MessagePack. */
final class CopyPositionsCodec {

  private CopyPositionsCodec() {}

  static void write(MessageBufferPacker packer, CopyPositions places) throws IOException {
    write(packer, places.configuration());
    packer.packLong(places.version());
    write(packer, places.nodes());
  }

  private static void write(MessageBufferPacker packer, StorePosition place) throws IOException {
    packer.packLong(place.era().number());
    packer.packLong(place.revision());
  }

  static CopyPositions read(MessageUnpacker in) throws IOException {
    StorePosition configuration = readPlace(in);
    long version = in.unpackLong();
    return new CopyPositions(configuration, version, readPlace(in));
  }

  private static StorePosition readPlace(MessageUnpacker in) throws IOException {
    StoreEra era = new StoreEra(in.unpackLong());
    return new StorePosition(era, in.unpackLong());
  }
}
