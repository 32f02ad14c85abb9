package org.fawnvale.serving.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.type.TypeFactory;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.CopyTimes;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.http.WholeCall;
import org.fawnvale.serving.spi.Call;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Takes what is newer in a peer's copy of the store's objects, and gives peers what is newer in
 * this daemon's. A daemon that watches the store itself waits a moment first, since its own watch
 * is about to tell it the same.
 *
 * @param <T> the type of the objects
 */
public final class PeerCopies<T> {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int FETCH_MILLIS = 800;

  private static final String SINCE = "?since=";
  private static final int OK = 200;

  private final HttpClient client;
  private final Timers timers;
  private final StoreWatch<T> watch;
  private final String path;
  private final int port;
  private final Class<T> content;
  private final CopyPacing pacing;

  /** Made with the first copy: a daemon that starts answers callers before it. */
  private static final class Codec {
    static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
  }

  /**
   * Creates the exchange of copies of one kind.
   *
   * @param client sends the questions
   * @param timers bounds their time
   * @param watch keeps the copy
   * @param path where peers ask for it
   * @param port the port that all daemons answer peers at
   * @param content the type of the objects
   * @param times how long to wait between and before copies
   */
  public PeerCopies(
      HttpClient client,
      Timers timers,
      StoreWatch<T> watch,
      String path,
      int port,
      Class<T> content,
      CopyTimes times) {
    this.pacing = new CopyPacing(times);
    this.client = client;
    this.timers = timers;
    this.watch = watch;
    this.path = path;
    this.port = port;
    this.content = content;
  }

  private JavaType type() {
    TypeFactory types = Codec.MAPPER.getTypeFactory();
    return types.constructParametricType(Copy.class, types.constructType(content));
  }

  /**
   * Hears of a peer's copy.
   *
   * @param address the peer's address
   * @param isNear whether it is of the same data centre; bytes between data centres are dear
   * @param newest the newest revision in its copy
   */
  public void hear(String address, boolean isNear, long newest) {
    if (newest <= watch.knownRevision()) {
      return;
    }
    boolean watches = watch.isActive() && watch.reachable();
    int delay = pacing.delayMillis(watches, isNear, System.nanoTime());
    if (delay == 0) {
      fetch(address, newest);
    } else if (delay != CopyPacing.NEVER) {
      timers.after(delay, () -> fetch(address, newest));
    }
  }

  private void fetch(String address, long newest) {
    if (newest > watch.knownRevision() && pacing.take(System.nanoTime())) {
      Endpoint peer = new Endpoint(address, port);
      Call question = Call.get(path + SINCE + watch.revision());
      WholeCall.send(client, timers, peer, question, FETCH_MILLIS, this::take);
    }
  }

  private void take(WholeCall.Reply reply) {
    boolean answered = reply instanceof WholeCall.Answered answer && answer.status() == OK;
    if (!answered) {
      LOG.info("path={} outcome=no_copy_from_peer", path);
      return;
    }
    try {
      Copy<T> copy = Codec.MAPPER.readValue(((WholeCall.Answered) reply).body(), type());
      watch.adopt(copy);
    } catch (IOException e) {
      LOG.warn("path={} outcome=unreadable_copy cause={}", path, e.toString());
    }
  }

  /**
   * Tells whether a question is about these copies.
   *
   * @param target the path and query of the question
   * @return true when {@link #give} answers it
   */
  public boolean isAskedBy(String target) {
    return target.startsWith(path + SINCE);
  }

  /**
   * Gives what a peer lacks.
   *
   * @param target the path and query of the peer's question
   * @return the copy as MessagePack; empty before there is one
   */
  public byte[] give(String target) {
    if (watch.knownRevision() < 0) {
      return new byte[0];
    }
    try {
      long since = Long.parseLong(target.substring(path.length() + SINCE.length()));
      return Codec.MAPPER.writeValueAsBytes(watch.copySince(since));
    } catch (NumberFormatException e) {
      LOG.warn("path={} outcome=unreadable_question target={}", path, target);
      return new byte[0];
    } catch (JsonProcessingException e) {
      LOG.error("path={} outcome=copy_not_written cause={}", path, e.toString());
      return new byte[0];
    }
  }
}
