package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.PartRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the node crashes attributed to prompt parts as MessagePack, as a part of the datagrams
 * between daemons.
 */
final class PartRecordCodec {

  private PartRecordCodec() {}

  static void write(MessageBufferPacker packer, List<PartRecord> records) throws IOException {
    packer.packArrayHeader(records.size());
    for (PartRecord part : records) {
      packer.packLong(part.part().value());
      packer.packLong(part.epoch());
      packer.packBoolean(part.answeredBefore());
      packer.packBoolean(part.barred());
      packer.packInt(part.trials());
      QuarantineRecordCodec.writeIncarnations(packer, part.crashes());
    }
  }

  static List<PartRecord> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<PartRecord> records = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      Fingerprint part = new Fingerprint(in.unpackLong());
      long epoch = in.unpackLong();
      boolean answeredBefore = in.unpackBoolean();
      boolean barred = in.unpackBoolean();
      int trials = in.unpackInt();
      Set<NodeIncarnation> crashes = QuarantineRecordCodec.readIncarnations(in);
      records.add(new PartRecord(part, epoch, crashes, answeredBefore, barred, trials));
    }
    return records;
  }
}
