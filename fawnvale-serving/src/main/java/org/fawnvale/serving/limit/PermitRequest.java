package org.fawnvale.serving.limit;

import java.io.IOException;
import java.util.Base64;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * A daemon's request to the owner of a node's limit for a permit to send one request to the node.
 * It carries the requester's record of the limit and of the node's cold period, since the owner may
 * not have received them yet. Request and reply are encoded as MessagePack. The cold period is
 * encoded for cold nodes only, so that daemons that don't know it still read the others.
 *
 * @param limit record of the limit that the requester has
 * @param dataCentre data centre of the node
 * @param service service of the node; empty when the node is warm
 * @param coldRemainingMillis how much longer the node is cold, in milliseconds; 0 when it is warm
 */
record PermitRequest(
    LimitUpdate limit, String dataCentre, String service, long coldRemainingMillis) {

  private static final String PATH = "/limits/leave/";

  private static final long GRANTED = 0;
  private static final long NOT_OWNED = -1;

  /** Creates a request for a warm node. */
  PermitRequest(LimitUpdate limit, String dataCentre) {
    this(limit, dataCentre, "", 0);
  }

  /** Returns the path of the HTTP request, with the encoded permit request. */
  String target() throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      LimitUpdateCodec.write(packer, List.of(limit));
      packer.packString(dataCentre);
      if (coldRemainingMillis > 0) {
        packer.packString(service);
        packer.packLong(coldRemainingMillis);
      }
      return PATH + Base64.getUrlEncoder().withoutPadding().encodeToString(packer.toByteArray());
    }
  }

  static boolean matches(String target) {
    return target.startsWith(PATH);
  }

  static PermitRequest read(String target) throws IOException {
    byte[] bytes;
    try {
      bytes = Base64.getUrlDecoder().decode(target.substring(PATH.length()));
    } catch (IllegalArgumentException e) {
      throw new IOException(
          "The permit request is not in base 64; use one version of the daemons.", e);
    }
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      List<LimitUpdate> updates = LimitUpdateCodec.read(in);
      if (updates.size() != 1) {
        throw new IOException(
            "A permit request must contain one limit, not " + updates.size() + ".");
      }
      String dataCentre = in.unpackString();
      return in.hasNext()
          ? new PermitRequest(updates.get(0), dataCentre, in.unpackString(), in.unpackLong())
          : new PermitRequest(updates.get(0), dataCentre);
    }
  }

  static byte[] write(SharedLimits.Reply reply) throws IOException {
    long nanos = NOT_OWNED;
    if (reply instanceof SharedLimits.Granted) {
      nanos = GRANTED;
    } else if (reply instanceof SharedLimits.Denied denied) {
      nanos = Math.max(1, denied.nanos());
    }
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(nanos);
      return packer.toByteArray();
    }
  }

  static SharedLimits.Reply readReply(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      long nanos = in.unpackLong();
      if (nanos == GRANTED) {
        return new SharedLimits.Granted();
      }
      return nanos < 0 ? new SharedLimits.NotOwned() : new SharedLimits.Denied(nanos);
    }
  }
}
