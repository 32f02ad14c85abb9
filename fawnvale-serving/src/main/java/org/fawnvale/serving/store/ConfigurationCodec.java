package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Workspace;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes configurations as MessagePack. */
final class ConfigurationCodec {

  private ConfigurationCodec() {}

  static void write(MessageBufferPacker packer, Configuration configuration) throws IOException {
    packer.packLong(configuration.version());
    CopyCodec.writeAll(packer, configuration.routes(), ConfigurationCodec::writeRoute);
    List<ServiceSpec> services = new ArrayList<>(configuration.services().values());
    CopyCodec.writeAll(packer, services, ConfigurationCodec::writeService);
    CopyCodec.writeNullable(
        packer, configuration.workspaces(), ConfigurationCodec::writeWorkspaces);
    packer.packInt(configuration.maxHeaderBytes());
    packer.packInt(configuration.maxBodyBytes());
    packer.packInt(configuration.idleMillis());
    packer.packInt(configuration.headerMillis());
  }

  static Configuration read(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    List<Route> routes = CopyCodec.readAll(in, ConfigurationCodec::readRoute);
    Map<String, ServiceSpec> services = new HashMap<>();
    for (ServiceSpec service : CopyCodec.readAll(in, ConfigurationCodec::readService)) {
      services.put(service.name(), service);
    }
    Map<String, Workspace> workspaces =
        CopyCodec.readNullable(in, ConfigurationCodec::readWorkspaces);
    int maxHeaderBytes = in.unpackInt();
    int maxBodyBytes = in.unpackInt();
    int idleMillis = in.unpackInt();
    return new Configuration(
        version,
        routes,
        Map.copyOf(services),
        workspaces,
        maxHeaderBytes,
        maxBodyBytes,
        idleMillis,
        in.unpackInt());
  }

  private static void writeRoute(MessageBufferPacker packer, Route route) throws IOException {
    packer.packString(route.name());
    packer.packString(route.host());
    packer.packString(route.pathPrefix());
    packer.packInt(route.kind().ordinal());
    packer.packInt(route.timeoutMillis());
    packer.packInt(route.targetMillis());
    packer.packInt(route.gapMillis());
    packer.packInt(route.priority());
    packer.packArrayHeader(route.destinations().size());
    for (Route.Destination destination : route.destinations()) {
      packer.packString(destination.service());
      packer.packDouble(destination.weight());
    }
    packer.packInt(route.maxAttempts());
    packer.packBoolean(route.anonymous());
    packer.packBoolean(route.resumable());
  }

  private static Route readRoute(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    String host = in.unpackString();
    String pathPrefix = in.unpackString();
    RouteKind kind = CopyCodec.readConstant(in, RouteKind.values());
    int timeoutMillis = in.unpackInt();
    int targetMillis = in.unpackInt();
    int gapMillis = in.unpackInt();
    int priority = in.unpackInt();
    List<Route.Destination> destinations =
        CopyCodec.readAll(in, ConfigurationCodec::readDestination);
    int maxAttempts = in.unpackInt();
    boolean anonymous = in.unpackBoolean();
    return new Route(
        name,
        host,
        pathPrefix,
        kind,
        timeoutMillis,
        targetMillis,
        gapMillis,
        priority,
        destinations,
        maxAttempts,
        anonymous,
        in.unpackBoolean());
  }

  private static Route.Destination readDestination(MessageUnpacker in) throws IOException {
    String service = in.unpackString();
    return new Route.Destination(service, in.unpackDouble());
  }

  private static void writeService(MessageBufferPacker packer, ServiceSpec service)
      throws IOException {
    packer.packString(service.name());
    packer.packInt(service.maxConnections());
    CopyCodec.writeNullable(packer, service.engine(), ConfigurationCodec::writeEngine);
    CopyCodec.writeNullable(packer, service.coldStart(), ConfigurationCodec::writeColdStart);
  }

  private static ServiceSpec readService(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    int maxConnections = in.unpackInt();
    @Nullable EngineSpec engine = CopyCodec.readNullable(in, ConfigurationCodec::readEngine);
    return new ServiceSpec(
        name,
        maxConnections,
        engine,
        CopyCodec.readNullable(in, ConfigurationCodec::readColdStart));
  }

  private static void writeColdStart(MessageBufferPacker packer, ServiceSpec.ColdStart coldStart)
      throws IOException {
    packer.packInt(coldStart.durationMillis());
    packer.packDouble(coldStart.perSecond());
  }

  private static ServiceSpec.ColdStart readColdStart(MessageUnpacker in) throws IOException {
    int durationMillis = in.unpackInt();
    return new ServiceSpec.ColdStart(durationMillis, in.unpackDouble());
  }

  private static void writeEngine(MessageBufferPacker packer, EngineSpec engine)
      throws IOException {
    packer.packInt(engine.slots());
    packer.packLong(engine.kvTokens());
    packer.packInt(engine.stride());
    packer.packInt(engine.chunk());
    CopyCodec.writeAll(packer, engine.models(), ConfigurationCodec::writeModel);
    packer.packDouble(engine.stepMillis());
    packer.packDouble(engine.perSequenceMillis());
    packer.packDouble(engine.contextMillis());
    packer.packDouble(engine.readTokensPerSecond());
    packer.packDouble(engine.pairsMillis());
    packer.packDouble(engine.loadsPerSecond());
    packer.packInt(engine.loadsAtOnce());
    packer.packInt(engine.formMillis());
    packer.packInt(engine.usual().promptTokens());
    packer.packInt(engine.usual().answerTokens());
  }

  private static EngineSpec readEngine(MessageUnpacker in) throws IOException {
    int slots = in.unpackInt();
    long kvTokens = in.unpackLong();
    int stride = in.unpackInt();
    int chunk = in.unpackInt();
    List<ModelSpec> models = CopyCodec.readAll(in, ConfigurationCodec::readModel);
    double stepMillis = in.unpackDouble();
    double perSequenceMillis = in.unpackDouble();
    double contextMillis = in.unpackDouble();
    double readTokensPerSecond = in.unpackDouble();
    double pairsMillis = in.unpackDouble();
    double loadsPerSecond = in.unpackDouble();
    int loadsAtOnce = in.unpackInt();
    int formMillis = in.unpackInt();
    int promptTokens = in.unpackInt();
    return new EngineSpec(
        slots,
        kvTokens,
        stride,
        chunk,
        models,
        stepMillis,
        perSequenceMillis,
        contextMillis,
        readTokensPerSecond,
        pairsMillis,
        loadsPerSecond,
        loadsAtOnce,
        formMillis,
        new RequestSize(promptTokens, in.unpackInt()));
  }

  private static void writeModel(MessageBufferPacker packer, ModelSpec model) throws IOException {
    packer.packString(model.name());
    packer.packInt(model.size());
    packer.packDouble(model.share());
    packer.packDouble(model.pace());
    packer.packInt(model.loadMillis());
    packer.packInt(model.warmMillis());
  }

  private static ModelSpec readModel(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    int size = in.unpackInt();
    double share = in.unpackDouble();
    double pace = in.unpackDouble();
    int loadMillis = in.unpackInt();
    return new ModelSpec(name, size, share, pace, loadMillis, in.unpackInt());
  }

  private static void writeWorkspaces(MessageBufferPacker packer, Map<String, Workspace> workspaces)
      throws IOException {
    packer.packMapHeader(workspaces.size());
    for (Map.Entry<String, Workspace> entry : workspaces.entrySet()) {
      packer.packString(entry.getKey());
      packer.packString(entry.getValue().name());
      packer.packInt(entry.getValue().priority());
    }
  }

  private static Map<String, Workspace> readWorkspaces(MessageUnpacker in) throws IOException {
    Map<String, Workspace> workspaces = new HashMap<>();
    for (int left = in.unpackMapHeader(); left > 0; left--) {
      String key = in.unpackString();
      String name = in.unpackString();
      workspaces.put(key, new Workspace(name, in.unpackInt()));
    }
    return Map.copyOf(workspaces);
  }
}
