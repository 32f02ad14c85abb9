package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the evacuated data centres as MessagePack, as a part of the datagrams of daemons. */
final class EvacuationStateCodec {

  private EvacuationStateCodec() {}

  static void write(MessageBufferPacker packer, EvacuationState state) throws IOException {
    packer.packBoolean(state.isKnown());
    if (state.isKnown()) {
      CopyPositionsCodec.writePosition(packer, state.position());
      PeerMessageCodec.writeStrings(packer, List.copyOf(state.dataCentres()));
    }
  }

  static EvacuationState read(MessageUnpacker in) throws IOException {
    return in.unpackBoolean()
        ? new EvacuationState(
            CopyPositionsCodec.readPosition(in), Set.copyOf(PeerMessageCodec.readStrings(in)))
        : EvacuationState.UNKNOWN;
  }
}
