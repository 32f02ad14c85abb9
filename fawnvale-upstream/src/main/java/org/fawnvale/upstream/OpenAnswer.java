package org.fawnvale.upstream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;

/** An upstream's response whose head has arrived; the caller reads the body once and closes it. */
public final class OpenAnswer implements AutoCloseable {

  private static final int BUFFER_BYTES = 8 * 1024;
  private static final String EVENT_STREAM = "text/event-stream";

  private final ClassicHttpResponse response;
  private final PooledConnection connection;
  private final Deadline deadline;
  private final long stallMillis;

  OpenAnswer(
      ClassicHttpResponse response,
      PooledConnection connection,
      Deadline deadline,
      long stallMillis) {
    this.response = response;
    this.connection = connection;
    this.deadline = deadline;
    this.stallMillis = stallMillis;
  }

  /**
   * Returns the status.
   *
   * @return the HTTP status
   */
  public int status() {
    return response.getCode();
  }

  /**
   * Returns the content type.
   *
   * @return the header's value, or {@code application/octet-stream} if it is missing
   */
  public String contentType() {
    return header("Content-Type", "application/octet-stream");
  }

  /**
   * Returns a header.
   *
   * @param name the header's name
   * @param otherwise value to return if the header is missing
   * @return the header's value, or the default
   */
  public String header(String name, String otherwise) {
    Header header = response.getFirstHeader(name);
    return header == null ? otherwise : header.getValue();
  }

  /**
   * Returns whether the body is a stream of server-sent events.
   *
   * @return true for an event stream
   */
  public boolean isEventStream() {
    return contentType().startsWith(EVENT_STREAM);
  }

  /**
   * Reads the whole body.
   *
   * @param limitBytes maximum body size, bytes
   * @return the body, or the reason why it is incomplete
   */
  public Result<byte[]> readWhole(int limitBytes) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    CopyResult copied = copyTo(body, limitBytes);
    if (copied instanceof CopyResult.Whole) {
      return Result.success(body.toByteArray());
    }
    String reason = copied instanceof CopyResult.Torn torn ? torn.reason() : "the receiver failed";
    return Result.failure(
        Problem.of(
            ProblemKind.OUTCOME_UNKNOWN,
            "The answer is not whole: " + reason + ".",
            "Repeat the request if it is safe to run twice."));
  }

  /**
   * Copies the body incrementally, as bytes arrive. An event stream is whole once its end mark has
   * arrived, also if it ends with its connection; any other body needs a length or chunks.
   *
   * @param out the receiver, flushed after each write
   * @param limitBytes maximum body size, bytes
   * @return the outcome; {@link CopyResult.Whole} only if the end of the body was detected
   */
  public CopyResult copyTo(OutputStream out, long limitBytes) {
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      return new CopyResult.Whole(0);
    }
    boolean lengthKnown = entity.isChunked() || entity.getContentLength() >= 0;
    EndMark mark = isEventStream() ? new EndMark() : null;
    if (!lengthKnown && mark == null) {
      return torn(0, "the upstream marks no end of its answer");
    }
    byte[] buffer = new byte[BUFFER_BYTES];
    long copied = 0;
    try (InputStream in = entity.getContent()) {
      for (int length = read(in, buffer); length >= 0; length = read(in, buffer)) {
        if (copied + length > limitBytes) {
          return torn(copied, "it is longer than " + limitBytes + " bytes");
        }
        if (mark != null) {
          mark.accept(buffer, length);
        }
        if (!write(out, buffer, length)) {
          connection.discard();
          return new CopyResult.ReceiverGone(copied);
        }
        copied += length;
      }
    } catch (IOException e) {
      return torn(copied, String.valueOf(e.getMessage()));
    }
    return mark == null ? whole(copied) : endOfStream(mark, lengthKnown, copied);
  }

  private CopyResult endOfStream(EndMark mark, boolean lengthKnown, long copied) {
    if (!mark.isSeen()) {
      return torn(copied, "the stream ended without its end mark");
    }
    if (lengthKnown) {
      return whole(copied);
    }
    if (!mark.isLast()) {
      return torn(copied, "further bytes followed the end mark of the stream");
    }
    connection.discard();
    return new CopyResult.Whole(copied);
  }

  private CopyResult whole(long copied) {
    connection.markReusable();
    return new CopyResult.Whole(copied);
  }

  /** Releases the connection, which is closed if the body was not read to its end. */
  @Override
  public void close() {
    connection.release();
  }

  private int read(InputStream in, byte[] buffer) throws IOException {
    if (deadline.hasPassed()) {
      throw new IOException("the deadline has passed");
    }
    connection.setReadTimeout(deadline.timeoutMillis(stallMillis));
    return in.read(buffer);
  }

  private CopyResult torn(long copied, String reason) {
    connection.discard();
    return new CopyResult.Torn(copied, reason);
  }

  private static boolean write(OutputStream out, byte[] buffer, int length) {
    try {
      out.write(buffer, 0, length);
      out.flush();
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
