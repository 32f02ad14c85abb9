package org.fawnvale.serving.limit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the limit records that daemons exchange as MessagePack. */
public final class LimitUpdateCodec {

  private LimitUpdateCodec() {}

  /**
   * Writes limit records.
   *
   * @param packer destination
   * @param updates records
   * @throws IOException if the packer fails
   */
  public static void write(MessageBufferPacker packer, List<LimitUpdate> updates)
      throws IOException {
    packer.packArrayHeader(updates.size());
    for (LimitUpdate update : updates) {
      packer.packString(update.incarnation().id());
      packer.packLong(update.incarnation().startedMillis());
      packer.packInt(update.version());
      packer.packDouble(update.perSecond());
      packer.packLong(update.ageMillis());
    }
  }

  /**
   * Reads limit records.
   *
   * @param in source
   * @throws IOException if the input is malformed
   */
  public static List<LimitUpdate> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<LimitUpdate> updates = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String id = in.unpackString();
      NodeIncarnation incarnation = new NodeIncarnation(id, in.unpackLong());
      int stamp = in.unpackInt();
      double perSecond = in.unpackDouble();
      updates.add(new LimitUpdate(incarnation, stamp, perSecond, in.unpackLong()));
    }
    return updates;
  }
}
