package org.fawnvale.daemon.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.InvalidKeySpecException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.kernel.ServiceException;
import org.jspecify.annotations.Nullable;

/** Creates TLS contexts from PEM files: a certificate chain and a private key in PKCS #8. */
final class Certificates {

  private static final String[] ALGORITHMS = {"RSA", "EC", "Ed25519"};
  private static final char[] NO_PASSWORD = new char[0];

  private Certificates() {}

  static @Nullable SSLContext context(String name, DaemonSettings.Listener listener)
      throws ServiceException {
    if (listener.certificateFile() == null || listener.privateKeyFile() == null) {
      return null;
    }
    try {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(null, NO_PASSWORD);
      Certificate[] chain = chain(listener.certificateFile());
      store.setKeyEntry("server", privateKey(listener.privateKeyFile()), NO_PASSWORD, chain);
      KeyManagerFactory managers =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      managers.init(store, NO_PASSWORD);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(managers.getKeyManagers(), null, null);
      return context;
    } catch (IOException | GeneralSecurityException | IllegalArgumentException e) {
      throw new ServiceException(
          "The files "
              + name
              + ".certificateFile and "
              + name
              + ".privateKeyFile cannot be used; give a PEM chain and a PKCS #8 PEM key.",
          e);
    }
  }

  private static Certificate[] chain(String file) throws IOException, GeneralSecurityException {
    byte[] pem = Files.readAllBytes(Path.of(file));
    Collection<? extends Certificate> chain =
        CertificateFactory.getInstance("X.509").generateCertificates(new ByteArrayInputStream(pem));
    return chain.toArray(new Certificate[0]);
  }

  private static PrivateKey privateKey(String file) throws IOException, GeneralSecurityException {
    String text =
        Files.readString(Path.of(file)).replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
    PKCS8EncodedKeySpec spec = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(text));
    for (String algorithm : ALGORITHMS) {
      try {
        return KeyFactory.getInstance(algorithm).generatePrivate(spec);
      } catch (InvalidKeySpecException e) {
        // The key is of another algorithm; try the next one.
      }
    }
    throw new GeneralSecurityException(
        "The private key's algorithm is none of RSA, EC and Ed25519.");
  }
}
