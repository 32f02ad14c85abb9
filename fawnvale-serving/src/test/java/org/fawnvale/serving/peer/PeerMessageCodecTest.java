package org.fawnvale.serving.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.DataCentreDigest;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.FleetMembers;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.PartRecord;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encoding a datagram and decoding it gives an equal one; a damaged datagram is refused. */
class PeerMessageCodecTest {

  private static final PeerMessageCodec.Datagram DATAGRAM =
      new PeerMessageCodec.Datagram(
          new PeerMessage(
              "edge-1",
              "127.0.0.1",
              "here",
              12,
              3,
              "edge-2",
              2,
              LeaderEligibility.ELIGIBLE,
              true,
              true,
              new PathReport(true, List.of("n1", "n2")),
              Map.of("n1", 4),
              Map.of("m", 2.5),
              Map.of("m", List.of(2.0, 0.0, 0.5)),
              Map.of("n1", 12.0),
              List.of("n1@7"),
              List.of("n7"),
              List.of(new PeerMessage.ServingGroup("n2", "g", 8, "m")),
              List.of("n3@9")),
          new CopyPositions(new StorePosition(new StoreEra(3), 5), 28, StorePosition.NONE),
          List.of("127.0.0.2"),
          List.of(
              new DataCentreDigest(
                  "there",
                  "edge-8",
                  17,
                  Map.of("n4", 2),
                  Map.of("m", 1.5),
                  Map.of("m", List.of(0.0, 1.5)),
                  Map.of("n4", 3.5),
                  List.of("n4@2", "n4@2"),
                  List.of("n8", "n9"),
                  true,
                  List.of(
                      new DataCentreDigest.Member(
                          "edge-9", "127.0.0.9", 4, LeaderEligibility.ELIGIBLE)))),
          new CrashRecords(
              List.of(
                  new QuarantineRecord(
                      new Fingerprint(-17),
                      Set.of(
                          new NodeIncarnation("n5", 1_700_000_000_000L),
                          NodeIncarnation.only("n6")),
                      Set.of(NodeIncarnation.only("n6")))),
              List.of(
                  new PartRecord(
                      new Fingerprint(23), 2, Set.of(NodeIncarnation.only("n5")), true, true, 1))),
          List.of(
              new LimitUpdate(new NodeIncarnation("n7", 1_700_000_000_001L), 3, 1.6, 250),
              new LimitUpdate(NodeIncarnation.only("n8"), 2, LimitUpdate.UNLIMITED, 0)),
          new EvacuationState(new StorePosition(new StoreEra(3), 9), Set.of("there")),
          3,
          List.of(new FleetMembers.Member("edge-9", 40)));

  @Test
  void decodingRestoresTheEncodedDatagram() throws IOException {
    byte[] bytes = PeerMessageCodec.write(DATAGRAM);
    assertThat(PeerMessageCodec.read(bytes, bytes.length)).isEqualTo(DATAGRAM);
  }

  /** Guards against work that is lost or moved to another urgency with the zeros left out. */
  @Test
  void onlyZerosAtTheEndOfWorkListsAreLeftOut() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    PeerMessageCodec.writeWorkLists(packer, Map.of("m", List.of(0.0, 0.5, 0.0), "n", List.of(0.0)));
    assertThat(PeerMessageCodec.readWorkLists(MessagePack.newDefaultUnpacker(packer.toByteArray())))
        .containsOnly(Map.entry("m", List.of(0.0, 0.5)), Map.entry("n", List.of()));
  }

  @Test
  void unknownFormatIsRefused() throws IOException {
    byte[] bytes = PeerMessageCodec.write(DATAGRAM);
    bytes[0]++;
    assertThatThrownBy(() -> PeerMessageCodec.read(bytes, bytes.length))
        .hasMessageContaining("Format " + bytes[0]);
  }

  @Test
  void everyTruncatedDatagramIsRefused() throws IOException {
    byte[] bytes = PeerMessageCodec.write(DATAGRAM);
    for (int length = 0; length < bytes.length; length++) {
      int truncatedLength = length;
      assertThatThrownBy(() -> PeerMessageCodec.read(bytes, truncatedLength))
          .isInstanceOf(Exception.class);
    }
  }
}
