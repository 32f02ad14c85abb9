package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;

/**
 * Reads all objects of a kind that Fawnvale itself creates, page by page, and retries until the
 * store answers. Callers hold the daemon's lock.
 *
 * @param <T> the type of the objects
 */
final class StoredList<T> {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int CALL_TIMEOUT_MILLIS = 1_500;
  private static final int RETRY_DELAY_MILLIS = 1_000;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final StoreClient store;
  private final Platform.Kind kind;
  private final PageReader<T> reader;

  /** Reads a page. */
  @FunctionalInterface
  interface PageReader<T> {

    /**
     * Reads a page.
     *
     * @throws IOException if the body is malformed
     */
    Page<T> read(StoreEra era, byte[] body) throws IOException;
  }

  StoredList(StoreClient store, Platform.Kind kind, PageReader<T> reader) {
    this.store = store;
    this.kind = kind;
    this.reader = reader;
  }

  /**
   * Loads all pages.
   *
   * @param page receives each page
   * @param complete runs after the last page, or when the store has no object of the kind
   */
  void load(Consumer<Page<T>> page, Runnable complete) {
    loadAfter("", page, complete);
  }

  private void loadAfter(String name, Consumer<Page<T>> page, Runnable complete) {
    store.send(
        store.platform().list(kind, name, true),
        CALL_TIMEOUT_MILLIS,
        reply -> {
          if (reply instanceof BufferedCall.Answered answer && answer.status() == OK) {
            accept(name, answer, page, complete);
          } else if (isKindMissing(reply)) {
            complete.run();
          } else {
            retry(name, page, complete);
          }
        });
  }

  private void retry(String name, Consumer<Page<T>> page, Runnable complete) {
    store.timers().after(RETRY_DELAY_MILLIS, () -> loadAfter(name, page, complete));
  }

  /**
   * Tells whether the store answered 404, as it may before the first object of the kind is saved.
   */
  private static boolean isKindMissing(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Answered answer && answer.status() == NOT_FOUND;
  }

  private void accept(
      String afterName, BufferedCall.Answered answer, Consumer<Page<T>> page, Runnable complete) {
    try {
      Page<T> read = reader.read(store.platform().era(answer.head()), answer.body());
      page.accept(read);
      if (read.more()) {
        loadAfter(read.lastName(), page, complete);
      } else {
        complete.run();
      }
    } catch (IOException | RuntimeException e) {
      LOG.error("kind={} outcome=unreadable_answer cause={}", kind, e.toString());
      retry(afterName, page, complete);
    }
  }
}
