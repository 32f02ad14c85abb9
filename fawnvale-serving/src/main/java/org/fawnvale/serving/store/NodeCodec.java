package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.List;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes nodes as MessagePack. */
final class NodeCodec {

  private NodeCodec() {}

  static void write(MessageBufferPacker packer, Node node) throws IOException {
    packer.packString(node.life().id());
    packer.packLong(node.life().startedMillis());
    packer.packString(node.service());
    packer.packString(node.endpoint().host());
    packer.packInt(node.endpoint().port());
    packer.packString(node.dataCentre());
    packer.packInt(node.slots());
    packer.packBoolean(node.draining());
    packer.packString(node.domain());
    CopyCodec.writeNullable(packer, node.model(), MessageBufferPacker::packString);
    CopyCodec.writeAll(packer, node.staged(), MessageBufferPacker::packString);
    CopyCodec.writeNullable(packer, node.membership(), NodeCodec::writeMembership);
    packer.packInt(node.coldRemainingMillis());
  }

  static Node read(MessageUnpacker in) throws IOException {
    String id = in.unpackString();
    NodeIncarnation life = new NodeIncarnation(id, in.unpackLong());
    String service = in.unpackString();
    String host = in.unpackString();
    Endpoint endpoint = new Endpoint(host, in.unpackInt());
    String dataCentre = in.unpackString();
    int slots = in.unpackInt();
    boolean draining = in.unpackBoolean();
    String domain = in.unpackString();
    String model = CopyCodec.readNullable(in, MessageUnpacker::unpackString);
    List<String> staged = CopyCodec.readAll(in, MessageUnpacker::unpackString);
    @Nullable Membership membership = CopyCodec.readNullable(in, NodeCodec::readMembership);
    return new Node(
        life,
        service,
        endpoint,
        dataCentre,
        slots,
        draining,
        domain,
        model,
        staged,
        membership,
        in.unpackInt());
  }

  private static void writeMembership(MessageBufferPacker packer, Membership membership)
      throws IOException {
    packer.packString(membership.group());
    packer.packLong(membership.epoch());
    packer.packInt(membership.rank());
    packer.packInt(membership.state().ordinal());
  }

  private static Membership readMembership(MessageUnpacker in) throws IOException {
    String group = in.unpackString();
    long epoch = in.unpackLong();
    int rank = in.unpackInt();
    return new Membership(group, epoch, rank, CopyCodec.readConstant(in, MemberState.values()));
  }
}
