package org.sandford.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sandford.constants.PlacementConstants;

/**
 * An instance type that the cloud offers.
 *
 * @param name its name in the cloud
 * @param cpus CPUs of a machine
 * @param gpus accelerators of a machine
 * @param ramGb memory of a machine, in GB
 * @param onDemandPrice price per hour of an on-demand machine
 * @param spotPrice price per hour of a spot machine
 * @param bootS nominal boot time, in seconds
 * @param fetchGbPerS download rate of images, in GB per second
 * @param zones zones in which it is offered
 */
public record InstanceType(
    String name,
    double cpus,
    double gpus,
    double ramGb,
    double onDemandPrice,
    double spotPrice,
    double bootS,
    double fetchGbPerS,
    List<String> zones) {
  static InstanceType parse(JsonNode node) {
    List<String> zones = new ArrayList<>();
    node.path("sites").forEach(zone -> zones.add(zone.asText()));
    return new InstanceType(
        node.path("sku").asText(),
        node.path("vcpus").asDouble(),
        node.path("accelerators").asDouble(),
        node.path("ram_gb").asDouble(),
        node.path("hourly").asDouble(),
        node.path("market_price").asDouble(),
        node.path("ready_s").asDouble(),
        node.path("fetch_gb_per_s").asDouble(),
        List.copyOf(zones));
  }

  /** Returns the price per hour of a spot machine or an on-demand machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }

  /** Returns whether one empty machine has room for these resources. */
  public boolean fits(double requiredCpus, double requiredGpus, double requiredRamGb) {
    double tolerance = PlacementConstants.RESOURCE_EPSILON;
    return requiredCpus <= cpus + tolerance
        && requiredGpus <= gpus + tolerance
        && requiredRamGb <= ramGb + tolerance;
  }
}
