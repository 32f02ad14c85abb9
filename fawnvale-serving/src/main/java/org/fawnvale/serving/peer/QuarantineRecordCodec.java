package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Records of requests under which nodes ended, within the datagrams of notes. */
final class QuarantineRecordCodec {

  private QuarantineRecordCodec() {}

  static void write(MessageBufferPacker packer, List<QuarantineRecord> records) throws IOException {
    packer.packArrayHeader(records.size());
    for (QuarantineRecord told : records) {
      packer.packLong(told.fingerprint().value());
      writeLives(packer, told.failures());
      writeLives(packer, told.excused());
    }
  }

  private static void writeLives(MessageBufferPacker packer, Set<NodeIncarnation> lives)
      throws IOException {
    packer.packArrayHeader(lives.size());
    for (NodeIncarnation life : lives) {
      packer.packString(life.id());
      packer.packLong(life.startedMillis());
    }
  }

  static List<QuarantineRecord> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<QuarantineRecord> records = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      Fingerprint fingerprint = new Fingerprint(in.unpackLong());
      Set<NodeIncarnation> ended = readLives(in);
      records.add(new QuarantineRecord(fingerprint, ended, readLives(in)));
    }
    return records;
  }

  private static Set<NodeIncarnation> readLives(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    Set<NodeIncarnation> lives = new HashSet<>();
    for (int index = 0; index < count; index++) {
      String id = in.unpackString();
      lives.add(new NodeIncarnation(id, in.unpackLong()));
    }
    return Set.copyOf(lives);
  }
}
