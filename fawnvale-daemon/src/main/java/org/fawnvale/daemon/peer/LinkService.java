package org.fawnvale.daemon.peer;

import org.fawnvale.kernel.Service;

/**
 * Opens the links to the other daemons, after the services that handle their messages have started.
 * {@link PeerService} closes them, after those services have stopped.
 */
public final class LinkService implements Service {

  private final PeerService peers;

  /**
   * Creates the service.
   *
   * @param peers holds the links
   */
  public LinkService(PeerService peers) {
    this.peers = peers;
  }

  @Override
  public void start() {
    peers.openLinks();
  }

  @Override
  public void stop() {
    // The services that stop next may still send.
  }
}
