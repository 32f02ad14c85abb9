package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.peer.DataCentreDigest;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes data centre digests as MessagePack, as a part of the datagrams between daemons. */
final class DigestCodec {

  private DigestCodec() {}

  static void write(MessageBufferPacker packer, DataCentreDigest digest) throws IOException {
    packer.packString(digest.dataCentre());
    packer.packString(digest.relay());
    packer.packLong(digest.sequence());
    PeerMessageCodec.writeCounts(packer, digest.inFlight());
    PeerMessageCodec.writeWork(packer, digest.offeredWork());
    PeerMessageCodec.writeWorkLists(packer, digest.offeredByUrgency());
    PeerMessageCodec.writeWork(packer, digest.paces());
    PeerMessageCodec.writeStrings(packer, digest.suspects());
    PeerMessageCodec.writeStrings(packer, digest.refusing());
    packer.packBoolean(digest.served());
    packer.packArrayHeader(digest.members().size());
    for (DataCentreDigest.Member member : digest.members()) {
      packer.packString(member.name());
      packer.packString(member.address());
      packer.packLong(member.incarnation());
      packer.packInt(member.eligibility().ordinal());
    }
  }

  static DataCentreDigest read(MessageUnpacker in) throws IOException {
    String dataCentre = in.unpackString();
    String relay = in.unpackString();
    long sequence = in.unpackLong();
    Map<String, Integer> inFlight = PeerMessageCodec.readCounts(in);
    Map<String, Double> offeredWork = PeerMessageCodec.readWork(in);
    Map<String, List<Double>> offeredByUrgency = PeerMessageCodec.readWorkLists(in);
    Map<String, Double> paces = PeerMessageCodec.readWork(in);
    List<String> suspects = PeerMessageCodec.readStrings(in);
    List<String> refusing = PeerMessageCodec.readStrings(in);
    boolean served = in.unpackBoolean();
    List<DataCentreDigest.Member> members = new ArrayList<>();
    int count = in.unpackArrayHeader();
    for (int index = 0; index < count; index++) {
      String name = in.unpackString();
      String address = in.unpackString();
      long incarnation = in.unpackLong();
      LeaderEligibility eligibility = LeaderEligibility.values()[in.unpackInt()];
      members.add(new DataCentreDigest.Member(name, address, incarnation, eligibility));
    }
    return new DataCentreDigest(
        dataCentre,
        relay,
        sequence,
        inFlight,
        offeredWork,
        offeredByUrgency,
        paces,
        suspects,
        refusing,
        served,
        members);
  }
}
