package org.sandford.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sandford.constants.ScalingConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.Json;
import org.sandford.runtime.TokenBucket;

/**
 * Client of the cloud's HTTP interface. Sends requests in order and within the cloud's rate limit,
 * without retries. A request that changes machines may wait for that rate, so whether this
 * controller may still make it is checked when it is sent. Runs on the event loop, where results
 * are also delivered.
 */
public final class CloudClient {
  /**
   * A machine in the list that the cloud returns, which may be out of date.
   *
   * @param address the address of its worker, or an empty string while it has none
   * @param ageS seconds since it was provisioned
   */
  public record ListedInstance(
      String name,
      String address,
      String instanceType,
      String zone,
      boolean spot,
      String status,
      double ageS) {}

  /** The outcome of a provisioning request. */
  public enum ProvisionOutcome {
    /** Executed; fewer machines than requested may have been provisioned. */
    PROVISIONED,
    /** The cloud has no more machines of this instance type for now. */
    NO_CAPACITY,
    /** Certainly not executed; it may be sent again later. */
    NOT_EXECUTED,
    /** Possibly executed; the caller must repeat the same request to learn the outcome. */
    UNKNOWN
  }

  private final EventLoop loop;
  private final HttpTransport http;
  private final String address;
  private final TokenBucket rate;
  private final BooleanSupplier mayChangeMachines;
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
  private boolean sendScheduled;

  /**
   * Creates a client; nothing is sent yet.
   *
   * @param requestsPerSecond the cloud's limit on requests, of which a share is used
   * @param mayChangeMachines whether this controller may provision and decommission machines now
   */
  public CloudClient(
      EventLoop loop,
      HttpTransport http,
      String address,
      double requestsPerSecond,
      BooleanSupplier mayChangeMachines) {
    this.mayChangeMachines = mayChangeMachines;
    this.loop = loop;
    this.http = http;
    this.address = address;
    this.rate = new TokenBucket(loop, requestsPerSecond * ScalingConstants.CLOUD_RATE_SHARE);
  }

  private void enqueue(Runnable send) {
    assert loop.isCurrentThread() : "called outside the event loop";
    queue.addLast(send);
    sendQueued();
  }

  /** Queues a request that changes machines; {@code refuse} runs if it may not be sent any more. */
  private void enqueueChange(Runnable send, Runnable refuse) {
    enqueue(
        () -> {
          if (mayChangeMachines.getAsBoolean()) {
            send.run();
          } else {
            refuse.run();
          }
        });
  }

  private void sendQueued() {
    while (!queue.isEmpty() && rate.allows(1)) {
      rate.take(1);
      queue.pollFirst().run();
    }
    if (!queue.isEmpty() && !sendScheduled) {
      sendScheduled = true;
      loop.after(
          Math.max(1, rate.waitMillis(1)),
          () -> {
            sendScheduled = false;
            sendQueued();
          });
    }
  }

  /** Reads the instance types; the result is null if they could not be read or there are none. */
  public void instanceTypes(Consumer<List<InstanceType>> onResult) {
    enqueue(
        () ->
            http.send(
                address,
                "GET",
                "/flavors",
                null,
                ScalingConstants.CLOUD_CALL_TIMEOUT_MS,
                reply -> {
                  List<InstanceType> instanceTypes = new ArrayList<>();
                  Json.read(reply.body())
                      .path("machine_kinds")
                      .forEach(node -> instanceTypes.add(InstanceType.parse(node)));
                  onResult.accept(
                      reply.ok() && !instanceTypes.isEmpty() ? List.copyOf(instanceTypes) : null);
                }));
  }

  /**
   * Requests machines of one pool.
   *
   * @param requestId identifies the request; a repeated request provisions nothing more and returns
   *     the outcome of its first execution
   * @param onResult receives the outcome and the names of the machines, which are empty unless the
   *     outcome is {@link ProvisionOutcome#PROVISIONED}; not executed if this controller may not
   *     change machines any more when the request is due
   */
  public void provision(
      String requestId,
      String instanceType,
      String zone,
      boolean spot,
      int machineCount,
      BiConsumer<ProvisionOutcome, List<String>> onResult) {
    ObjectNode request =
        Json.object()
            .put("hire", requestId)
            .put("machine_kind", instanceType)
            .put("site", zone)
            .put("reclaimable", spot)
            .put("number", machineCount);
    enqueueChange(
        () ->
            http.send(
                address,
                "POST",
                "/machines",
                Json.bytes(request),
                ScalingConstants.CLOUD_CALL_TIMEOUT_MS,
                reply -> onResult.accept(outcomeOf(reply), machinesOf(reply))),
        () -> onResult.accept(ProvisionOutcome.NOT_EXECUTED, List.of()));
  }

  private static ProvisionOutcome outcomeOf(HttpTransport.Reply reply) {
    return switch (reply.status()) {
      case 200 -> ProvisionOutcome.PROVISIONED;
      case 503 ->
          Json.read(reply.body()).path("error").asText().equals("no capacity")
              ? ProvisionOutcome.NO_CAPACITY
              : ProvisionOutcome.NOT_EXECUTED;
      case 400, 429, HttpTransport.Reply.NOT_SENT -> ProvisionOutcome.NOT_EXECUTED;
      default -> ProvisionOutcome.UNKNOWN;
    };
  }

  private static List<String> machinesOf(HttpTransport.Reply reply) {
    List<String> machines = new ArrayList<>();
    Json.read(reply.body()).path("hosts").forEach(host -> machines.add(host.asText()));
    return machines;
  }

  /**
   * Decommissions machines; the result is true only if the cloud confirms that they are gone. It is
   * false if this controller may not change machines any more when the request is due.
   */
  public void decommission(List<String> machines, Consumer<Boolean> onResult) {
    ObjectNode request = Json.object();
    ArrayNode hosts = request.putArray("hosts");
    machines.forEach(hosts::add);
    enqueueChange(
        () ->
            http.send(
                address,
                "POST",
                "/machines/return",
                Json.bytes(request),
                ScalingConstants.CLOUD_CALL_TIMEOUT_MS,
                reply -> onResult.accept(reply.ok())),
        () -> onResult.accept(false));
  }

  /** Reads the whole machine list, page by page; the result is null if a page could not be read. */
  public void list(Consumer<List<ListedInstance>> onResult) {
    listFrom("", new ArrayList<>(), onResult);
  }

  private void listFrom(
      String afterName, List<ListedInstance> collected, Consumer<List<ListedInstance>> onResult) {
    String path =
        "/machines?limit="
            + ScalingConstants.MACHINE_LIST_PAGE_SIZE
            + (afterName.isEmpty()
                ? ""
                : "&since=" + URLEncoder.encode(afterName, StandardCharsets.UTF_8));
    enqueue(
        () ->
            http.send(
                address,
                "GET",
                path,
                null,
                ScalingConstants.CLOUD_CALL_TIMEOUT_MS,
                reply -> {
                  if (!reply.ok()) {
                    onResult.accept(null);
                    return;
                  }
                  JsonNode body = Json.read(reply.body());
                  String lastName = afterName;
                  for (JsonNode host : body.path("hosts")) {
                    lastName = host.path("name_id").asText();
                    collected.add(parseInstance(host));
                  }
                  if (body.path("more").asBoolean() && !lastName.equals(afterName)) {
                    listFrom(lastName, collected, onResult);
                  } else {
                    onResult.accept(collected);
                  }
                }));
  }

  private static ListedInstance parseInstance(JsonNode host) {
    return new ListedInstance(
        host.path("name_id").asText(),
        host.path("addr").asText(""),
        host.path("machine_kind").asText(),
        host.path("site").asText(),
        host.path("reclaimable").asBoolean(),
        host.path("status").asText(),
        host.path("held_s").asDouble());
  }
}
