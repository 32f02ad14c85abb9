package org.fawnvale.cli;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** Creates TLS contexts that trust only the certificates of one PEM file. */
final class Trust {

  private Trust() {}

  static SSLContext context(String file) throws IOException {
    try {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(null, null);
      byte[] pem = java.nio.file.Files.readAllBytes(Path.of(file));
      int index = 0;
      for (Certificate certificate :
          CertificateFactory.getInstance("X.509")
              .generateCertificates(new ByteArrayInputStream(pem))) {
        store.setCertificateEntry("trusted-" + index++, certificate);
      }
      TrustManagerFactory managers =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      managers.init(store);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(null, managers.getTrustManagers(), null);
      return context;
    } catch (GeneralSecurityException e) {
      throw new IOException("cannot load PEM certificates from the file given by --trust", e);
    }
  }
}
