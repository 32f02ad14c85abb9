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
 * A daemon's question to the owner of a limit: may I send one request there? It tells what the
 * asker knows of the limit, since the owner may not have heard of it yet. Both it and the reply are
 * MessagePack.
 *
 * @param limit what the asker knows
 * @param dataCentre the node's data centre
 */
record PermitRequest(LimitUpdate limit, String dataCentre) {

  private static final String PATH = "/limits/leave/";

  private static final long GRANTED = 0;
  private static final long NOT_OWNED = -1;

  /** The path that asks it. */
  String target() throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      LimitNoteCodec.write(packer, List.of(limit));
      packer.packString(dataCentre);
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
      throw new IOException("The question is not in base 64; use one version of the daemons.", e);
    }
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      List<LimitUpdate> notes = LimitNoteCodec.read(in);
      if (notes.size() != 1) {
        throw new IOException("A question is about one limit, not " + notes.size() + ".");
      }
      return new PermitRequest(notes.get(0), in.unpackString());
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
