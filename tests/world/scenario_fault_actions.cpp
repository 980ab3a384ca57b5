// Fault events of controllers, connections, the state service and the cloud.
#include "world/scenario_actions.h"
#include "world/scenario_endpoints.h"

namespace world {
namespace {

using Context = const ActionContext&;

constexpr Ms kDelayedWritesSettleTime = 12'000;
// The last fault may end a machine, whose tasks then wait for its lease.
constexpr Ms kRandomFaultsSettleTime = 60'000;
constexpr double kBytesPerKb = 1024;
const std::string kHold = "hold";      // messages sent meanwhile are delivered afterwards instead of lost
const std::string kAnswer = "answer";  // applies to responses, not requests

// crash CONTROLLER FOR
void crash(Context context) {
  for (auto* controller : controllersNamed(context.world, context.line.word(3)))
    controller->crash(context.line.duration(4));
}

// upgrade CONTROLLER FOR
void upgrade(Context context) {
  for (auto* controller : controllersNamed(context.world, context.line.word(3)))
    controller->upgrade(context.line.duration(4));
}

// state-limits
void changeStateLimits(Context context) {
  const auto& deployment = context.world.deployment;
  auto valueKb = deployment.nextValueKb.value_or(deployment.valueKb);
  auto txnOps = deployment.nextTxnOps.value_or(deployment.txnOps);
  context.world.stateService.setLimits(static_cast<unsigned>(txnOps),
                                       static_cast<std::size_t>(valueKb * kBytesPerKb),
                                       deployment.nextWriteRps.value_or(deployment.writeRps));
}

// freeze CONTROLLER FOR
void freeze(Context context) {
  for (auto* controller : controllersNamed(context.world, context.line.word(3)))
    controller->freeze(context.until(4));
}

// leader crash|refuse|freeze FOR: the fault hits the current leader
void disruptLeader(Context context) {
  auto& world = context.world;
  world.withLeader([&world, what = context.line.word(3), last = context.line.duration(4)](unsigned number) {
    Ms until = world.clock.now() + last;
    if (what == "crash")
      world.controllers[number]->crash(last);
    else if (what == "refuse")
      world.stateService.refuseRequests("node" + std::to_string(number), until);
    else if (what == "freeze")
      world.controllers[number]->freeze(until);
  });
}

// partition FROM TO FOR hold|drop
void partition(Context context) {
  auto from = endpointNamed(context.world, context.line.word(3));
  auto to = endpointNamed(context.world, context.line.word(4));
  context.world.net.partition(from, to, context.until(5), context.line.word(6) == kHold);
}

// partition-zone ZONE FOR hold|drop
void partitionZone(Context context) {
  auto& world = context.world;
  auto inZone = [&world, zone = context.line.word(3)](const std::string& endpoint) {
    return world.zoneOf(endpoint) == zone;
  };
  world.net.partitionGroup(inZone, context.until(4), context.line.word(5) == kHold);
}

// partition-one-way FROM TO FOR hold|drop
void partitionOneWay(Context context) {
  for (const auto& to : endpointsNamed(context.world, context.line.word(4)))
    context.world.net.partitionOneWay(context.line.word(3), to, context.until(5),
                                      context.line.word(6) == kHold);
}

// refuse-connections FROM TO FOR
void refuseConnections(Context context) {
  for (const auto& from : endpointsNamed(context.world, context.line.word(3)))
    context.world.net.refuseConnections(from, endpointNamed(context.world, context.line.word(4)),
                                        context.until(5));
}

// delay A B PATH FOR FROM TO request|answer
void delay(Context context) {
  const auto& line = context.line;
  auto from = endpointNamed(context.world, line.word(3));
  auto to = endpointNamed(context.world, line.word(4));
  context.world.net.delay(from, to, line.word(5), line.word(9) == kAnswer, context.until(6), line.duration(7),
                          line.duration(8));
}

// duplicate-reports MACHINE FOR FROM TO
void duplicateReports(Context context) {
  std::vector<std::string> nodes;
  for (unsigned number = 0; number < context.world.controllers.size(); ++number)
    nodes.push_back("node" + std::to_string(number));
  context.world.net.duplicateRequests(endpointNamed(context.world, context.line.word(3)), "/checkin", nodes,
                                      context.until(4), context.line.duration(5), context.line.duration(6));
}

// repeat-answered FROM TO PATH SHARE FOR LEAST MOST
void repeatAnswered(Context context) {
  const auto& line = context.line;
  context.world.net.repeatAnswered(endpointNamed(context.world, line.word(3)),
                                   endpointNamed(context.world, line.word(4)), line.word(5), line.number(6),
                                   context.until(7), line.duration(8), line.duration(9));
}

// drop-response PATH MACHINE
void dropResponse(Context context) {
  context.world.net.dropNextResponse(context.line.word(3),
                                     endpointNamed(context.world, context.line.word(4)));
}

// outage store|cloud FOR
void outage(Context context) {
  if (context.line.word(3) == "store")
    context.world.stateService.outage(context.until(4));
  else
    context.world.cloud.outage(context.until(4));
}

}  // namespace

const ActionTable& faultActions() {
  static const ActionTable table{
      {"crash", {crash, 4}},
      {"upgrade", {upgrade, 4}},
      {"state-limits", {changeStateLimits}},
      {"freeze", {freeze, 4}},
      {"leader", {disruptLeader, 4}},
      {"partition", {partition, 5}},
      {"partition-zone", {partitionZone, 4}},
      {"partition-one-way", {partitionOneWay, 5}},
      {"refuse-connections", {refuseConnections, 5}},
      {"delay", {delay, 6, 8}},
      {"duplicate-reports", {duplicateReports, 4, 6}},
      {"repeat-answered", {repeatAnswered, 7, 9}},
      {"drop-response", {dropResponse}},
      {"outage", {outage, 4}},
      {"random-faults", {startRandomFaults, 3, 0, kRandomFaultsSettleTime}},
      {"refuse", {[](Context c) { c.world.stateService.refuseRequests(c.line.word(3), c.until(4)); }, 4}},
      {"delayed-writes",
       {[](Context c) { c.world.stateService.delayWrites(c.line.number(3), c.until(4)); }, 4, 0,
        kDelayedWritesSettleTime}},
      {"lost-responses",
       {[](Context c) { c.world.stateService.dropResponses(c.line.number(3), c.until(4)); }, 4}},
      {"replay-reports",
       {[](Context c) { c.world.recordReports(endpointNamed(c.world, c.line.word(3)), c.until(4)); }, 4}},
      {"store-latency",
       {[](Context c) { c.world.stateService.addLatency(c.line.duration(3), c.until(4)); }, 4, 3}},
      {"boot-failure", {[](Context c) { c.world.cloud.failBoots(c.until(3)); }, 3}},
      {"no-capacity", {[](Context c) { c.world.cloud.denyCapacity(c.until(3)); }, 3}}};
  return table;
}

}  // namespace world
