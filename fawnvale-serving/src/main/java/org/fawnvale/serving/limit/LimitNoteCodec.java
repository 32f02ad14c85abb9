package org.fawnvale.serving.limit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitNote;
import org.fawnvale.serving.core.model.NodeLife;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the limit records that daemons exchange as MessagePack. */
public final class LimitNoteCodec {

  private LimitNoteCodec() {}

  /**
   * Writes limit records.
   *
   * @param packer destination
   * @param notes records
   * @throws IOException if the packer fails
   */
  public static void write(MessageBufferPacker packer, List<LimitNote> notes) throws IOException {
    packer.packArrayHeader(notes.size());
    for (LimitNote note : notes) {
      packer.packString(note.life().id());
      packer.packLong(note.life().startedMillis());
      packer.packInt(note.stamp());
      packer.packDouble(note.perSecond());
      packer.packLong(note.ageMillis());
    }
  }

  /**
   * Reads limit records.
   *
   * @param in source
   * @return records
   * @throws IOException if the input is malformed
   */
  public static List<LimitNote> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<LimitNote> notes = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String id = in.unpackString();
      NodeLife incarnation = new NodeLife(id, in.unpackLong());
      int stamp = in.unpackInt();
      double perSecond = in.unpackDouble();
      notes.add(new LimitNote(incarnation, stamp, perSecond, in.unpackLong()));
    }
    return notes;
  }
}
