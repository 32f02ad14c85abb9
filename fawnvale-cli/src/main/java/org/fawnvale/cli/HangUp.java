package org.fawnvale.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a task on SIGHUP instead of letting the signal terminate the process. Accesses {@code
 * sun.misc.Signal} by reflection because the compiler warns about direct use.
 */
final class HangUp {

  private static final Logger LOG = LogManager.getLogger("daemon");

  private HangUp() {}

  static void handle(Runnable task) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
      InvocationHandler invocation =
          (proxy, method, arguments) -> {
            if ("handle".equals(method.getName())) {
              task.run();
            }
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(
              HangUp.class.getClassLoader(), new Class<?>[] {handlerClass}, invocation);
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warn(
          "Cannot install a SIGHUP handler; SIGHUP will terminate the process: {}.", e.toString());
    }
  }
}
