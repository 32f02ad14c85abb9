package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.peer.DataCentreDigest;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.limit.LimitNoteCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Notes between daemons as MessagePack. */
final class PeerMessageCodec {

  private static final int FORMAT = 9;

  private PeerMessageCodec() {}

  /**
   * What a datagram holds.
   *
   * @param note the sender's note
   * @param places what its copies of the store's objects show
   * @param addresses addresses of daemons that the sender knows
   * @param digests what whole data centres tell
   * @param records what is known of requests under which nodes ended
   * @param limits what is known of limits that nodes name
   */
  record Datagram(
      PeerMessage note,
      CopyPositions places,
      List<String> addresses,
      List<DataCentreDigest> digests,
      List<QuarantineRecord> records,
      List<LimitUpdate> limits) {}

  static byte[] write(Datagram datagram) throws IOException {
    PeerMessage note = datagram.note();
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT);
      packer.packString(note.name());
      packer.packString(note.address());
      packer.packString(note.dataCentre());
      packer.packLong(note.incarnation());
      packer.packLong(note.term());
      packer.packString(note.leader());
      packer.packLong(note.claim());
      packer.packInt(note.eligibility().ordinal());
      packer.packBoolean(note.served());
      writeCounts(packer, note.inFlight());
      writeWork(packer, note.offeredWork());
      writeStrings(packer, note.suspects());
      writeStrings(packer, note.refusing());
      packer.packArrayHeader(note.groups().size());
      for (PeerMessage.ServingGroup group : note.groups()) {
        packer.packString(group.head());
        packer.packString(group.group());
        packer.packLong(group.epoch());
        packer.packString(group.model());
      }
      writeStrings(packer, note.closed());
      CopyPositionsCodec.write(packer, datagram.places());
      writeStrings(packer, datagram.addresses());
      packer.packArrayHeader(datagram.digests().size());
      for (DataCentreDigest digest : datagram.digests()) {
        DigestCodec.write(packer, digest);
      }
      QuarantineRecordCodec.write(packer, datagram.records());
      LimitNoteCodec.write(packer, datagram.limits());
      return packer.toByteArray();
    }
  }

  static void writeCounts(MessageBufferPacker packer, Map<String, Integer> counts)
      throws IOException {
    packer.packMapHeader(counts.size());
    for (Map.Entry<String, Integer> entry : counts.entrySet()) {
      packer.packString(entry.getKey());
      packer.packInt(entry.getValue());
    }
  }

  static void writeWork(MessageBufferPacker packer, Map<String, Double> work) throws IOException {
    packer.packMapHeader(work.size());
    for (Map.Entry<String, Double> entry : work.entrySet()) {
      packer.packString(entry.getKey());
      packer.packFloat(entry.getValue().floatValue());
    }
  }

  static Map<String, Integer> readCounts(MessageUnpacker in) throws IOException {
    Map<String, Integer> counts = new HashMap<>();
    int entries = in.unpackMapHeader();
    for (int entry = 0; entry < entries; entry++) {
      String node = in.unpackString();
      counts.put(node, in.unpackInt());
    }
    return counts;
  }

  static Map<String, Double> readWork(MessageUnpacker in) throws IOException {
    Map<String, Double> work = new HashMap<>();
    int models = in.unpackMapHeader();
    for (int entry = 0; entry < models; entry++) {
      String model = in.unpackString();
      work.put(model, (double) in.unpackFloat());
    }
    return work;
  }

  static void writeStrings(MessageBufferPacker packer, List<String> texts) throws IOException {
    packer.packArrayHeader(texts.size());
    for (String text : texts) {
      packer.packString(text);
    }
  }

  static Datagram read(byte[] bytes, int length) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
        throw new IOException("Format " + format + " of a note is unknown; use one version.");
      }
      String name = in.unpackString();
      String address = in.unpackString();
      String dataCentre = in.unpackString();
      long incarnation = in.unpackLong();
      long term = in.unpackLong();
      String leader = in.unpackString();
      long claim = in.unpackLong();
      LeaderEligibility standing = LeaderEligibility.values()[in.unpackInt()];
      boolean served = in.unpackBoolean();
      Map<String, Integer> inFlight = readCounts(in);
      Map<String, Double> offeredWork = readWork(in);
      List<String> suspects = readStrings(in);
      List<String> refusing = readStrings(in);
      List<PeerMessage.ServingGroup> groups = readGroups(in);
      List<String> closed = readStrings(in);
      CopyPositions places = CopyPositionsCodec.read(in);
      PeerMessage note =
          new PeerMessage(
              name,
              address,
              dataCentre,
              incarnation,
              term,
              leader,
              claim,
              standing,
              served,
              inFlight,
              offeredWork,
              suspects,
              refusing,
              groups,
              closed);
      List<String> addresses = readStrings(in);
      List<DataCentreDigest> digests = new ArrayList<>();
      int told = in.unpackArrayHeader();
      for (int index = 0; index < told; index++) {
        digests.add(DigestCodec.read(in));
      }
      List<QuarantineRecord> records = QuarantineRecordCodec.read(in);
      return new Datagram(note, places, addresses, digests, records, LimitNoteCodec.read(in));
    }
  }

  private static List<PeerMessage.ServingGroup> readGroups(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<PeerMessage.ServingGroup> groups = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String head = in.unpackString();
      String group = in.unpackString();
      long epoch = in.unpackLong();
      groups.add(new PeerMessage.ServingGroup(head, group, epoch, in.unpackString()));
    }
    return groups;
  }

  static List<String> readStrings(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<String> texts = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      texts.add(in.unpackString());
    }
    return texts;
  }
}
