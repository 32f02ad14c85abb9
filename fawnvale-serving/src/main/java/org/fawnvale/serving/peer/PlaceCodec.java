package org.fawnvale.serving.peer;

import java.io.IOException;
import org.fawnvale.serving.core.watch.CopyPlaces;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePlace;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** What a daemon's copies of the store's objects show, as MessagePack. */
final class PlaceCodec {

  private PlaceCodec() {}

  static void write(MessageBufferPacker packer, CopyPlaces places) throws IOException {
    write(packer, places.configuration());
    packer.packLong(places.version());
    write(packer, places.nodes());
  }

  private static void write(MessageBufferPacker packer, StorePlace place) throws IOException {
    packer.packLong(place.era().number());
    packer.packLong(place.revision());
  }

  static CopyPlaces read(MessageUnpacker in) throws IOException {
    StorePlace configuration = readPlace(in);
    long version = in.unpackLong();
    return new CopyPlaces(configuration, version, readPlace(in));
  }

  private static StorePlace readPlace(MessageUnpacker in) throws IOException {
    StoreEra era = new StoreEra(in.unpackLong());
    return new StorePlace(era, in.unpackLong());
  }
}
