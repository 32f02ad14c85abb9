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

/**
 * Encodes the node failures attributed to requests as MessagePack, as a part of the datagrams
 * between daemons.
 */
final class QuarantineRecordCodec {

  private QuarantineRecordCodec() {}

  static void write(MessageBufferPacker packer, List<QuarantineRecord> records) throws IOException {
    packer.packArrayHeader(records.size());
    for (QuarantineRecord quarantineRecord : records) {
      packer.packLong(quarantineRecord.fingerprint().value());
      writeIncarnations(packer, quarantineRecord.failures());
      writeIncarnations(packer, quarantineRecord.excused());
    }
  }

  static void writeIncarnations(MessageBufferPacker packer, Set<NodeIncarnation> incarnations)
      throws IOException {
    packer.packArrayHeader(incarnations.size());
    for (NodeIncarnation incarnation : incarnations) {
      packer.packString(incarnation.id());
      packer.packLong(incarnation.startedMillis());
    }
  }

  static List<QuarantineRecord> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<QuarantineRecord> records = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      Fingerprint fingerprint = new Fingerprint(in.unpackLong());
      Set<NodeIncarnation> failures = readIncarnations(in);
      records.add(new QuarantineRecord(fingerprint, failures, readIncarnations(in)));
    }
    return records;
  }

  static Set<NodeIncarnation> readIncarnations(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    Set<NodeIncarnation> incarnations = new HashSet<>();
    for (int index = 0; index < count; index++) {
      String id = in.unpackString();
      incarnations.add(new NodeIncarnation(id, in.unpackLong()));
    }
    return Set.copyOf(incarnations);
  }
}
