package org.sandford.scenario;

import java.util.Map;
import java.util.function.Consumer;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.Json;

/**
 * Simulates the HTTP requests of one process: cuts hold them back, dead hosts refuse them, and they
 * time out.
 */
final class SimulatedHttpTransport implements HttpTransport {
  private final Simulation simulation;
  private final Simulation.ProcessLoop loop;
  private final String host;
  private final Map<String, FakeServer> servers;

  SimulatedHttpTransport(
      Simulation simulation,
      Simulation.ProcessLoop loop,
      String host,
      Map<String, FakeServer> servers) {
    this.simulation = simulation;
    this.loop = loop;
    this.host = host;
    this.servers = servers;
  }

  @Override
  public void send(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Reply> done) {
    if (path.equals("/commands")) {
      simulation.ordersSentListener.accept(Json.read(body).path("orders"));
    }
    String target = address.substring(0, address.indexOf(':'));
    boolean[] over = {false};
    Consumer<Reply> once =
        reply -> {
          if (!over[0] && loop.alive) {
            over[0] = true;
            done.accept(reply);
          }
        };
    FakeServer server = servers.get(target);
    if (server == null || simulation.isDead(target)) {
      loop.after(1, () -> once.accept(new Reply(Reply.NOT_SENT, new byte[0])));
      return;
    }
    if (simulation.duplicateRequests && simulation.random.nextInt(10) == 0) {
      // A late copy: it is carried out once more, and its answer goes nowhere.
      simulation.after(
          simulation.random.nextInt(simulation.maxDuplicateDelayMs),
          () ->
              simulation.deliver(
                  host,
                  target,
                  () -> {
                    if (!simulation.isDead(target) && servers.get(target) == server) {
                      server.handle(
                          host, method, path, body == null ? new byte[0] : body, ignored -> {});
                    }
                  }));
    }
    loop.after(timeoutMs, () -> once.accept(new Reply(Reply.UNKNOWN, new byte[0])));
    simulation.deliver(
        host,
        target,
        () -> {
          if (simulation.isDead(target) || servers.get(target) != server) {
            return;
          }
          server.handle(
              host,
              method,
              path,
              body == null ? new byte[0] : body,
              response ->
                  simulation.deliver(
                      target,
                      host,
                      () ->
                          loop.whenAwake(
                              () ->
                                  once.accept(
                                      new Reply(response.status(), Json.bytes(response.body()))))));
        });
  }
}
