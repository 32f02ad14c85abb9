package org.fawnvale.http;

import java.io.IOException;
import java.net.Socket;
import javax.net.ssl.SSLSocket;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.io.HttpConnectionFactory;

/**
 * Creates clients' connections for the library's requester.
 *
 * @param config the bounds of the answers
 */
public record ClientConnections(Http1Config config)
    implements HttpConnectionFactory<ClientConnection> {

  @Override
  public ClientConnection createConnection(Socket socket) throws IOException {
    ClientConnection connection = new ClientConnection(config);
    connection.bind(socket);
    return connection;
  }

  @Override
  public ClientConnection createConnection(SSLSocket tls, Socket socket) throws IOException {
    ClientConnection connection = new ClientConnection(config);
    connection.bind(tls, socket);
    return connection;
  }
}
