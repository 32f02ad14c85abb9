package org.fawnvale.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Codec of frames: a big-endian four-byte length, then one message in MessagePack. */
public final class FrameCodec {

  /** Size of a frame's length field, bytes. */
  public static final int HEADER_BYTES = Integer.BYTES;

  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
  private static final ObjectReader READER = MAPPER.readerFor(Message.class);
  private static final ObjectWriter WRITER = MAPPER.writerFor(Message.class);

  private final int maximumBytes;

  private FrameCodec(int maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Creates a codec.
   *
   * @param maximumBytes maximum size of an encoded or decoded payload, bytes
   */
  public static FrameCodec withLimit(int maximumBytes) {
    return new FrameCodec(maximumBytes);
  }

  /**
   * Encodes a message as the payload of a frame.
   *
   * @throws FrameException if the payload exceeds the limit or cannot be encoded
   */
  public byte[] encode(Message message) throws FrameException {
    try {
      byte[] payload = WRITER.writeValueAsBytes(message);
      if (payload.length > maximumBytes) {
        throw new FrameException(
            "A message of " + payload.length + " bytes is over the limit of " + maximumBytes + ".");
      }
      return payload;
    } catch (JsonProcessingException e) {
      throw new FrameException("A message could not be encoded.", e);
    }
  }

  /**
   * Writes a payload as a frame.
   *
   * @param out the destination, not flushed
   * @throws IOException if the connection fails
   */
  public void write(byte[] payload, DataOutputStream out) throws IOException {
    out.writeInt(payload.length);
    out.write(payload);
  }

  /**
   * Reads one frame.
   *
   * @param in the source
   * @return its message; null if the stream ends between two frames
   * @throws FrameException if the frame exceeds the limit, is truncated, or holds no known message
   * @throws IOException if the connection fails
   */
  public @Nullable Message read(DataInputStream in) throws IOException {
    int first = in.read();
    if (first < 0) {
      return null;
    }
    try {
      int length = (first << 24) | (in.readUnsignedByte() << 16) | in.readUnsignedShort();
      if (length < 0 || length > maximumBytes) {
        throw new FrameException(
            "A frame of " + length + " bytes is over the limit of " + maximumBytes + ".");
      }
      byte[] payload = new byte[length];
      in.readFully(payload);
      return decode(payload);
    } catch (EOFException e) {
      throw new FrameException("The connection ended inside a frame.", e);
    }
  }

  private static Message decode(byte[] payload) throws FrameException {
    try {
      Message message = READER.readValue(payload);
      if (message == null) {
        throw new FrameException("A frame holds no message.");
      }
      return message;
    } catch (FrameException e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new FrameException("A frame does not hold a known message.", e);
    }
  }
}
