#include "config/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cherryloft {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = std::size_t{40} * 1024;
constexpr double kMinValueKb = 1;
constexpr double kMinTxnOps = 4;

const json& requireField(const json& object, const char* name, json::value_t type, const char* typeName) {
  if (!object.is_object() || !object.contains(name))
    throw SettingsError(std::string("settings: field '") + name + "' is missing");
  const json& value = object.at(name);
  bool ok = type == json::value_t::number_float ? value.is_number() : value.type() == type;
  if (!ok) throw SettingsError(std::string("settings: field '") + name + "' is not " + typeName);
  return value;
}

std::string text(const json& object, const char* name) {
  auto value = requireField(object, name, json::value_t::string, "a string").get<std::string>();
  if (value.empty()) throw SettingsError(std::string("settings: field '") + name + "' is empty");
  return value;
}
double number(const json& object, const char* name, double low, double high) {
  double value = requireField(object, name, json::value_t::number_float, "a number").get<double>();
  if (!(value >= low && value <= high))
    throw SettingsError(std::string("settings: field '") + name + "' is out of range");
  return value;
}
const json& object(const json& parent, const char* name) {
  return requireField(parent, name, json::value_t::object, "an object");
}
// The settings give 0 for a team without a limit; returned as infinity.
double limit(const json& object, const char* name, double high) {
  double value = number(object, name, 0, high);
  return value > 0 ? value : std::numeric_limits<double>::infinity();
}
const json& list(const json& object, const char* name) {
  return requireField(object, name, json::value_t::array, "a list");
}

// The lower of the current limit and the one announced for later (`next`): values and transactions that fit
// both are accepted at any time, and what was written before the change can be rewritten after it.
double lowerLimit(const json& state, const char* name, double low, double high) {
  double current = number(state, name, low, high);
  if (!state.contains("next")) return current;
  const auto& next = object(state, "next");
  if (!next.contains(name) || next.at(name).is_null()) return current;
  return std::min(current, number(next, name, low, high));
}

void applyStateLimits(const json& state, Settings& settings) {
  constexpr double maxRps = 1e9;
  settings.stateRps = lowerLimit(state, "rps", 1, maxRps);
  settings.stateWriteRps = lowerLimit(state, "write_rps", 1, maxRps);
  // A placement page and the other writes of its transaction must fit the body of one transaction.
  auto announcedBytes = static_cast<std::size_t>(lowerLimit(state, "value_kb", kMinValueKb, 1024) * 1024);
  settings.maxValueBytes = std::min(announcedBytes, kMaxValueBytes);
  settings.txnOps = static_cast<unsigned>(lowerLimit(state, "txn_ops", kMinTxnOps, 10000));
}

}  // namespace

Address parseAddress(const std::string& text) {
  auto colon = text.rfind(':');
  Address address;
  unsigned port = 0, parts = 0;
  bool ok = colon != std::string::npos;
  if (ok) {
    address.ip = text.substr(0, colon);
    const char* end = text.data() + text.size();
    auto [parsedEnd, ec] = std::from_chars(text.data() + colon + 1, end, port);
    ok = ec == std::errc{} && parsedEnd == end && port > 0 && port < 65536;
  }
  std::istringstream in(address.ip);
  for (std::string part; ok && std::getline(in, part, '.'); ++parts) {
    unsigned octet = 0;
    auto [parsedEnd, ec] = std::from_chars(part.data(), part.data() + part.size(), octet);
    ok = ec == std::errc{} && parsedEnd == part.data() + part.size() && octet < 256;
  }
  if (!ok || parts != 4) throw SettingsError("'" + text + "' is not an IPv4 address with a port");
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

// A shorter lease would expire whenever the state service answers slowly.
constexpr Duration kMinLeaseTtl{2'000};

// An answer to a worker may be based on a state in which a cancellation is not yet known; the lease that
// it extends must still end within cancel_s of that cancellation (invariant 16). The margin covers clock
// drift, request latency and the granularity at which silence is detected; if cancel_s is only slightly
// longer than lease_s, it shrinks to a fraction of the difference.
Duration Settings::cancelMargin() const {
  return seconds(std::min(3.0 + 0.005 * cancelDeadlineS, 0.4 * (cancelDeadlineS - workerLeaseS)));
}

Duration Settings::maxCancellationStaleness() const {
  return std::max(seconds(cancelDeadlineS - workerLeaseS) - cancelMargin(), Duration{0});
}

// No other controller confirms cancellations for this one's shards before its lease has expired, so a
// lease longer than maxCancellationStaleness() violates no bound; it only leaves no grace period after it.
Duration Settings::leaseTtl() const {
  return std::min(tuning.leaseTtl, std::max(maxCancellationStaleness(), kMinLeaseTtl));
}

Duration Settings::grace() const { return std::max(maxCancellationStaleness() - leaseTtl(), Duration{0}); }

namespace {
std::optional<double> strictest(const std::vector<ServiceLevelObjective>& objectives,
                                const std::string& jobClass) {
  std::optional<double> withinS;
  for (const auto& objective : objectives)
    if (objective.jobClass == jobClass && (!withinS || objective.withinS < *withinS))
      withinS = objective.withinS;
  return withinS;
}
}  // namespace

std::optional<double> Settings::finishWithin(const std::string& jobClass) const {
  return strictest(finishObjectives, jobClass);
}

std::optional<double> Settings::startWithin(const std::string& jobClass) const {
  return strictest(startObjectives, jobClass);
}

double Settings::maxSpotWaitS() const {
  constexpr double kNoObjective = 1e9;
  double waitS = guaranteeStartWithinS ? 0.75 * *guaranteeStartWithinS : kNoObjective;
  for (const auto& objective : finishObjectives) waitS = std::min(waitS, 0.1 * objective.withinS);
  return waitS < kNoObjective ? waitS : 0;
}

const Team* Settings::team(const TeamId& name) const {
  auto it = std::lower_bound(teams.begin(), teams.end(), name,
                             [](const Team& team, const TeamId& wanted) { return team.name < wanted; });
  return it != teams.end() && it->name == name ? &*it : nullptr;
}

ShardId Settings::shardOfTeam(const TeamId& name) const {
  const Team* known = team(name);
  return ShardId{known ? static_cast<std::uint32_t>(known - teams.data()) % size() : 0};
}

ShardId Settings::preferredShard(const ControllerId& name) const {
  return ShardId{static_cast<std::uint32_t>(std::find(controllers.begin(), controllers.end(), name) -
                                            controllers.begin())};
}

Settings parseSettings(const std::string& contents, const Tuning& tuning) {
  json doc = json::parse(contents, nullptr, false);
  if (doc.is_discarded()) throw SettingsError("settings: not JSON");
  if (!doc.is_object()) throw SettingsError("settings: not an object");
  Settings s;
  s.tuning = tuning;
  s.controller = ControllerId{text(doc, "node")};
  s.front = parseAddress(text(doc, "front"));
  s.mesh = parseAddress(text(doc, "mesh_addr"));
  s.controllers.push_back(s.controller);
  for (const auto& sibling : list(doc, "siblings")) {
    s.siblings.push_back({ControllerId{text(sibling, "node")}, parseAddress(text(sibling, "address"))});
    s.controllers.push_back(s.siblings.back().controller);
  }
  std::sort(s.controllers.begin(), s.controllers.end());
  if (std::adjacent_find(s.controllers.begin(), s.controllers.end()) != s.controllers.end())
    throw SettingsError("settings: two controllers have the same name");
  if (s.controllers.size() > 32) throw SettingsError("settings: more than 32 controllers");
  const auto& endpoints = object(doc, "endpoints");
  s.cloud = parseAddress(text(endpoints, "cloud"));
  s.state = parseAddress(text(endpoints, "state"));
  const auto& deployment = object(doc, "deployment");
  for (const auto& zone : list(deployment, "zones")) {
    if (!zone.is_string()) throw SettingsError("settings: a zone is not a string");
    s.zones.push_back(Zone{zone.get<std::string>()});
  }
  constexpr double maxAmount = 1e9;
  for (const auto& team : list(deployment, "teams"))
    s.teams.push_back({TeamId{text(team, "name")}, number(team, "cpus", 0, maxAmount),
                       limit(team, "cpus_max", maxAmount), number(team, "gpus", 0, maxAmount),
                       limit(team, "gpus_max", maxAmount)});
  std::sort(s.teams.begin(), s.teams.end(), [](const Team& a, const Team& b) { return a.name < b.name; });
  // Objectives only guide the order of work, so unrecognized ones are ignored.
  if (deployment.contains("objectives") && deployment.at("objectives").is_array()) {
    for (const auto& entry : deployment.at("objectives")) {
      if (!entry.is_object() || !entry.contains("within_s") || !entry.at("within_s").is_number()) continue;
      if (entry.value("kind", json()) == "guarantee")
        s.guaranteeStartWithinS = entry.at("within_s").get<double>();
      if (!entry.contains("class") || !entry.at("class").is_string()) continue;
      ServiceLevelObjective objective{entry.at("class").get<std::string>(),
                                      entry.at("within_s").get<double>()};
      auto kind = entry.value("kind", json());
      if (kind == "finished") s.finishObjectives.push_back(objective);
      if (kind == "wait") s.startObjectives.push_back(objective);
    }
  }
  const auto& workers = object(deployment, "workers");
  s.heartbeatIntervalS = number(workers, "report_s", 0.001, 3600);
  s.workerLeaseS = number(workers, "lease_s", 0.001, 86400);
  s.cancelDeadlineS = number(workers, "cancel_s", s.workerLeaseS, 86400);
  if (workers.contains("gang_wait_s")) s.gangStartTimeoutS = number(workers, "gang_wait_s", 0, 86400);
  if (workers.contains("gang_peer_s")) s.gangPeerTimeoutS = number(workers, "gang_peer_s", 0, 86400);
  applyStateLimits(object(deployment, "state"), s);
  const auto& cloud = object(deployment, "cloud");
  s.cloudRps = number(cloud, "rps", 0.01, maxAmount);
  s.listLagS = number(cloud, "list_lag_s", 0, 3600);
  s.fdLimit = static_cast<unsigned>(number(object(deployment, "machine_limits"), "fd_limit", 32, 1e6));
  s.clockErrorMs = number(deployment, "clock_error_ms", 0, 1e6);
  return s;
}

Settings readSettings(const std::string& path, const Tuning& tuning) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError("cannot read settings file '" + path + "'");
  std::ostringstream contents;
  contents << in.rdbuf();
  return parseSettings(contents.str(), tuning);
}

}  // namespace cherryloft
