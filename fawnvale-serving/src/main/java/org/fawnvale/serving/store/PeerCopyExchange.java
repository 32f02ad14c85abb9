package org.fawnvale.serving.store;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.type.TypeFactory;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.CopyDelays;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Takes what is newer in a peer's copy of the store's objects, and gives peers what is newer in
 * this daemon's. A daemon that watches the store itself waits a moment first, since its own watch
 * is about to tell it the same.
 *
 * @param <T> the type of the objects
 */
public final class PeerCopyExchange<T> {

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
  private Given given = new Given("", -1, new byte[0]);

  /**
   * What was given last. The daemons of a data centre ask for the same, one right after the other:
   * after a return of the store each of them for a whole copy, which costs a large fleet's watcher
   * milliseconds to write.
   *
   * @param target the question
   * @param ofChanges the count of changes that the copy was made of
   * @param copy the answer
   */
  private record Given(String target, long ofChanges, byte[] copy) {}

  /** Made with the first copy: a daemon that starts answers callers before it. */
  private static final class Codec {
    static final ObjectMapper MAPPER =
        new ObjectMapper(new MessagePackFactory())
            .addMixIn(StorePosition.class, AsArray.class)
            .addMixIn(StoreEra.class, AsArray.class);
  }

  /** Each object has a place: names of its parts would be the most of a copy. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private interface AsArray {}

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
  public PeerCopyExchange(
      HttpClient client,
      Timers timers,
      StoreWatch<T> watch,
      String path,
      int port,
      Class<T> content,
      CopyDelays times) {
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
    return types.constructParametricType(CopyUpdate.class, types.constructType(content));
  }

  /**
   * What a peer tells of its copy.
   *
   * @param address the peer's address
   * @param isNear whether it is of the same data centre; bytes between data centres are dear
   * @param newest the place of the newest change in it
   * @param goesBefore whether it holds what goes before this daemon's, though the store does not
   *     show it any more
   */
  public record Told(String address, boolean isNear, StorePosition newest, boolean goesBefore) {}

  /**
   * Hears of a peer's copy. Where it shows a later history of the store, a daemon that watches asks
   * the store itself, whose word is better than a peer's; the others take the peer's copy whole.
   *
   * @param told what the peer tells
   */
  public void hear(Told told) {
    boolean watches = watch.isActive() && watch.reachable();
    if (watches && told.newest().isKnown()) {
      watch.hearOf(told.newest().era());
    }
    if (!isWanted(told)) {
      return;
    }
    int delay = pacing.delayMillis(watches, told.isNear(), System.nanoTime());
    if (delay == 0) {
      fetch(told);
    } else if (delay != CopyPacing.NEVER) {
      timers.after(delay, () -> fetch(told));
    }
  }

  private boolean isWanted(Told told) {
    return told.newest().isAfter(watch.newest()) || told.goesBefore();
  }

  private void fetch(Told told) {
    if (isWanted(told) && pacing.take(System.nanoTime())) {
      Endpoint peer = new Endpoint(told.address(), port);
      StorePosition since = told.goesBefore() ? StorePosition.NONE : watch.place();
      Call question = Call.get(path + SINCE + StorePositionText.write(since));
      BufferedCall.send(client, timers, peer, question, FETCH_MILLIS, this::take);
    }
  }

  private void take(BufferedCall.Reply reply) {
    boolean answered = reply instanceof BufferedCall.Answered answer && answer.status() == OK;
    if (!answered) {
      LOG.info("path={} outcome=no_copy_from_peer", path);
      return;
    }
    try {
      CopyUpdate<T> copy = Codec.MAPPER.readValue(((BufferedCall.Answered) reply).body(), type());
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
    if (watch.objects().isEmpty()) {
      return new byte[0];
    }
    if (target.equals(given.target()) && watch.changes() == given.ofChanges()) {
      return given.copy();
    }
    try {
      StorePosition since =
          StorePositionText.read(target.substring(path.length() + SINCE.length()));
      byte[] copy = Codec.MAPPER.writeValueAsBytes(watch.copySince(since));
      given = new Given(target, watch.changes(), copy);
      return copy;
    } catch (NumberFormatException e) {
      LOG.warn("path={} outcome=unreadable_question target={}", path, target);
      return new byte[0];
    } catch (JsonProcessingException e) {
      LOG.error("path={} outcome=copy_not_written cause={}", path, e.toString());
      return new byte[0];
    }
  }
}
