package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.peer.DataCentreDigest;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.FleetMembers;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.limit.LimitUpdateCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the messages between daemons as MessagePack. The order of the fields is the wire format;
 * a change to it needs a new {@link #FORMAT}.
 */
final class PeerMessageCodec {

  private static final int FORMAT = 16;

  private PeerMessageCodec() {}

  /**
   * The content of one datagram.
   *
   * @param message the sender's own state
   * @param positions the positions of the sender's copies of the store's objects
   * @param addresses addresses of some daemons that the sender knows
   * @param digests digests of whole data centres; empty unless the sender is a relay
   * @param crashRecords node crashes that the sender attributes to requests and prompt parts
   * @param limitUpdates request limits that nodes have advertised
   * @param evacuations the evacuated data centres that the sender knows
   * @param daemonCount how many daemons the sender counts, itself included; 0 if it does not know
   * @param members some of the other daemons that it counts
   */
  record Datagram(
      PeerMessage message,
      CopyPositions positions,
      List<String> addresses,
      List<DataCentreDigest> digests,
      CrashRecords crashRecords,
      List<LimitUpdate> limitUpdates,
      EvacuationState evacuations,
      int daemonCount,
      List<FleetMembers.Member> members) {}

  static byte[] write(Datagram datagram) throws IOException {
    PeerMessage message = datagram.message();
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT);
      packer.packString(message.name());
      packer.packString(message.address());
      packer.packString(message.dataCentre());
      packer.packLong(message.incarnation());
      packer.packLong(message.term());
      packer.packString(message.leader());
      packer.packLong(message.claim());
      packer.packInt(message.eligibility().ordinal());
      packer.packBoolean(message.served());
      packer.packBoolean(message.isShort());
      packer.packBoolean(message.path().doubtful());
      writeStrings(packer, message.path().heard());
      writeCounts(packer, message.inFlight());
      writeWork(packer, message.offeredWork());
      writeWorkLists(packer, message.offeredByUrgency());
      writeWork(packer, message.paces());
      writeStrings(packer, message.suspects());
      writeStrings(packer, message.refusing());
      packer.packArrayHeader(message.groups().size());
      for (PeerMessage.ServingGroup group : message.groups()) {
        packer.packString(group.head());
        packer.packString(group.group());
        packer.packLong(group.epoch());
        packer.packString(group.model());
      }
      writeStrings(packer, message.closed());
      CopyPositionsCodec.write(packer, datagram.positions());
      writeStrings(packer, datagram.addresses());
      packer.packArrayHeader(datagram.digests().size());
      for (DataCentreDigest digest : datagram.digests()) {
        DigestCodec.write(packer, digest);
      }
      QuarantineRecordCodec.write(packer, datagram.crashRecords().requests());
      PartRecordCodec.write(packer, datagram.crashRecords().parts());
      LimitUpdateCodec.write(packer, datagram.limitUpdates());
      EvacuationStateCodec.write(packer, datagram.evacuations());
      packer.packInt(datagram.daemonCount());
      writeMembers(packer, datagram.members());
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

  /** Leaves out zeros at the end of a list: most configurations use few of the ten urgencies. */
  static void writeWorkLists(MessageBufferPacker packer, Map<String, List<Double>> work)
      throws IOException {
    packer.packMapHeader(work.size());
    for (Map.Entry<String, List<Double>> entry : work.entrySet()) {
      List<Double> values = entry.getValue();
      int count = values.size();
      while (count > 0 && values.get(count - 1).floatValue() == 0) {
        count--;
      }
      packer.packString(entry.getKey());
      packer.packArrayHeader(count);
      for (int index = 0; index < count; index++) {
        packer.packFloat(values.get(index).floatValue());
      }
    }
  }

  static Map<String, List<Double>> readWorkLists(MessageUnpacker in) throws IOException {
    Map<String, List<Double>> work = new HashMap<>();
    int models = in.unpackMapHeader();
    for (int entry = 0; entry < models; entry++) {
      String model = in.unpackString();
      int count = in.unpackArrayHeader();
      List<Double> values = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        values.add((double) in.unpackFloat());
      }
      work.put(model, Collections.unmodifiableList(values));
    }
    return work;
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

  private static void writeMembers(MessageBufferPacker packer, List<FleetMembers.Member> members)
      throws IOException {
    packer.packArrayHeader(members.size());
    for (FleetMembers.Member member : members) {
      packer.packString(member.name());
      packer.packInt(member.silentSeconds());
    }
  }

  private static List<FleetMembers.Member> readMembers(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<FleetMembers.Member> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      members.add(new FleetMembers.Member(in.unpackString(), in.unpackInt()));
    }
    return members;
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
        throw new IOException(
            "Format " + format + " of a peer message is unknown; run one version everywhere.");
      }
      String name = in.unpackString();
      String address = in.unpackString();
      String dataCentre = in.unpackString();
      long incarnation = in.unpackLong();
      long term = in.unpackLong();
      String leader = in.unpackString();
      long claim = in.unpackLong();
      LeaderEligibility eligibility = LeaderEligibility.values()[in.unpackInt()];
      boolean served = in.unpackBoolean();
      boolean isShort = in.unpackBoolean();
      PathReport path = new PathReport(in.unpackBoolean(), readStrings(in));
      Map<String, Integer> inFlight = readCounts(in);
      Map<String, Double> offeredWork = readWork(in);
      Map<String, List<Double>> offeredByUrgency = readWorkLists(in);
      Map<String, Double> paces = readWork(in);
      List<String> suspects = readStrings(in);
      List<String> refusing = readStrings(in);
      List<PeerMessage.ServingGroup> groups = readGroups(in);
      List<String> closed = readStrings(in);
      CopyPositions positions = CopyPositionsCodec.read(in);
      PeerMessage message =
          new PeerMessage(
              name,
              address,
              dataCentre,
              incarnation,
              term,
              leader,
              claim,
              eligibility,
              served,
              isShort,
              path,
              inFlight,
              offeredWork,
              offeredByUrgency,
              paces,
              suspects,
              refusing,
              groups,
              closed);
      List<String> addresses = readStrings(in);
      List<DataCentreDigest> digests = new ArrayList<>();
      int digestCount = in.unpackArrayHeader();
      for (int index = 0; index < digestCount; index++) {
        digests.add(DigestCodec.read(in));
      }
      List<QuarantineRecord> requests = QuarantineRecordCodec.read(in);
      CrashRecords crashRecords = new CrashRecords(requests, PartRecordCodec.read(in));
      List<LimitUpdate> limitUpdates = LimitUpdateCodec.read(in);
      return new Datagram(
          message,
          positions,
          addresses,
          digests,
          crashRecords,
          limitUpdates,
          EvacuationStateCodec.read(in),
          in.unpackInt(),
          readMembers(in));
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
