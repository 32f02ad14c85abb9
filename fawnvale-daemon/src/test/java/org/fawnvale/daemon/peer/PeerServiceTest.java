package org.fawnvale.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.fawnvale.core.model.Registration;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.Keys;
import org.fawnvale.daemon.state.DaemonList;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.kernel.ServiceException;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.wire.Identity;
import org.fawnvale.wire.Link;
import org.fawnvale.wire.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Links that are needed before the periodic dialing has run; here it never runs. */
class PeerServiceTest {

  private static final String SOUTH = "south";
  private static final long WAIT_MILLIS = 10_000;

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final ScheduledThreadPoolExecutor stoppedTimer =
      new ScheduledThreadPoolExecutor(1, new ThreadPoolExecutor.DiscardPolicy());
  private final List<PeerService> started = new ArrayList<>();
  private final FleetState state = new FleetState();
  private DaemonSettings.KeyFiles keyFiles;

  @BeforeEach
  void writeKeys(@TempDir Path folder) throws IOException {
    stoppedTimer.shutdown();
    String names = Files.writeString(folder.resolve("names"), "{}").toString();
    String peers = Files.writeString(folder.resolve("peers"), "key-of-peers").toString();
    keyFiles = new DaemonSettings.KeyFiles(names, names, peers);
  }

  @AfterEach
  void stop() {
    started.forEach(PeerService::stop);
    executor.shutdownNow();
  }

  private PeerService start(String name, FleetState known) throws ServiceException {
    PeerService service = listen(name, known);
    new LinkService(service).start();
    return service;
  }

  private PeerService listen(String name, FleetState known) throws ServiceException {
    DaemonSettings.Listener any = new DaemonSettings.Listener("127.0.0.1", 0, null, null);
    DaemonSettings settings =
        new DaemonSettings(
            name,
            SOUTH,
            any,
            any,
            any,
            new DaemonSettings.Endpoint("127.0.0.1", 1),
            keyFiles,
            null,
            null,
            null);
    Keys keys = Keys.read(keyFiles).fold(read -> read, problem -> null);
    Identity identity = new Identity(name, SOUTH, name + "-incarnation");
    Context context =
        new Context(
            settings,
            keys,
            identity,
            System::nanoTime,
            System::currentTimeMillis,
            executor,
            stoppedTimer);
    PeerService service = new PeerService(context, known);
    service.start();
    started.add(service);
    return service;
  }

  private void register(Registration... daemons) {
    byte[] list = Documents.write(new DaemonList(List.of(daemons), ""));
    state.apply(List.of(new StoredObject(ObjectNames.daemons(SOUTH), 1, list)));
  }

  /** Guards against "outcome unknown" for a key whose issuer is up but not linked yet. */
  @Test
  void dialsADaemonThatARequestNeeds() throws ServiceException {
    register(start("issuer", new FleetState()).registration());
    PeerService service = start("restarted", state);
    assertThat(service.linkTo("issuer")).isNull();
    assertThat(service.awaitLink("issuer", WAIT_MILLIS)).isNotNull();
    assertThat(service.awaitLink("not-registered", WAIT_MILLIS)).isNull();
  }

  /** Guards against half a second without links after the first list of daemons. */
  @Test
  void dialsAsSoonAsADaemonIsRegistered() throws Exception {
    PeerService service = start("restarted", state);
    CompletableFuture<Link> dialed = new CompletableFuture<>();
    service.onDialed(dialed::complete);
    register(start("issuer", new FleetState()).registration());
    assertThat(dialed.get(WAIT_MILLIS, TimeUnit.MILLISECONDS).peer().daemon()).isEqualTo("issuer");
  }

  /** Guards against readiness before the links, and against one peer that is down preventing it. */
  @Test
  void countsAPeerThatCannotBeReachedAsDialed() throws ServiceException {
    PeerService stopped = start("stopped", new FleetState());
    Registration registration = stopped.registration();
    stopped.stop();
    register(registration);
    PeerService service = start("restarted", state);
    assertThat(service.hasDialedPeers()).isFalse();
    assertThat(service.awaitLink("stopped", WAIT_MILLIS)).isNull();
    assertThat(service.hasDialedPeers()).isTrue();
  }

  /** Guards against messages that come while a daemon starts, and are lost. */
  @Test
  void messageThatComesBeforeTheHandlersAreSetIsHandled() throws Exception {
    PeerService late = listen("late", new FleetState());
    register(late.registration());
    PeerService sender = start("sender", state);
    Message.ClaimReply sent = new Message.ClaimReply(7, "granted", null);
    sender.onDialed(link -> link.send(sent));
    executor.execute(() -> sender.awaitLink("late", WAIT_MILLIS));
    CompletableFuture<Message> received = new CompletableFuture<>();
    late.on(Message.ClaimReply.class, (link, message) -> received.complete(message));
    new LinkService(late).start();
    assertThat(sender.awaitLink("late", WAIT_MILLIS)).isNotNull();
    assertThat(received.get(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(sent);
  }
}
