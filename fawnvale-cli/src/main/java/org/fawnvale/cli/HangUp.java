package org.fawnvale.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a task on SIGHUP, which would end the process otherwise. The JDK's class for signals is
 * reached by reflection, since the compiler warns of any direct use.
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
      LOG.warn("SIGHUP can't be handled and would end the process: {}.", e.toString());
    }
  }
}
