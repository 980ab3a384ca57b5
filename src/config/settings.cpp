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

constexpr std::size_t kLargestValue = std::size_t{40} * 1024;
constexpr double kLeastValueKb = 1;
constexpr double kLeastTxnOps = 4;

const json& need(const json& object, const char* name, json::value_t type, const char* what) {
  if (!object.is_object() || !object.contains(name))
    throw SettingsError(std::string("settings: field '") + name + "' is missing");
  const json& v = object.at(name);
  bool ok = type == json::value_t::number_float ? v.is_number() : v.type() == type;
  if (!ok) throw SettingsError(std::string("settings: field '") + name + "' is not " + what);
  return v;
}

std::string text(const json& o, const char* name) {
  auto s = need(o, name, json::value_t::string, "a string").get<std::string>();
  if (s.empty()) throw SettingsError(std::string("settings: field '") + name + "' is empty");
  return s;
}
double number(const json& o, const char* name, double low, double high) {
  double v = need(o, name, json::value_t::number_float, "a number").get<double>();
  if (!(v >= low && v <= high))
    throw SettingsError(std::string("settings: field '") + name + "' is out of range");
  return v;
}
const json& object(const json& o, const char* name) {
  return need(o, name, json::value_t::object, "an object");
}
// "A value of 0 means none": a team of which no limit is told has none.
double limit(const json& o, const char* name, double high) {
  double v = number(o, name, 0, high);
  return v > 0 ? v : std::numeric_limits<double>::infinity();
}
const json& list(const json& o, const char* name) { return need(o, name, json::value_t::array, "a list"); }

// The limit that is told now or, if it is lower, the one announced for later: values and transactions that
// fit both are taken at any moment, and what was written before the change can be written anew after it.
double lowerLimit(const json& state, const char* name, double low, double high) {
  double now = number(state, name, low, high);
  if (!state.contains("next")) return now;
  const auto& next = object(state, "next");
  if (!next.contains(name) || next.at(name).is_null()) return now;
  return std::min(now, number(next, name, low, high));
}

void applyStateLimits(const json& state, Settings& settings) {
  constexpr double most = 1e9;
  settings.stateRps = lowerLimit(state, "rps", 1, most);
  settings.stateWriteRps = lowerLimit(state, "write_rps", 1, most);
  // A page and what goes with it must fit a transaction.
  auto valueBytes = static_cast<std::size_t>(lowerLimit(state, "value_kb", kLeastValueKb, 1024) * 1024);
  settings.valueBytes = std::min(valueBytes, kLargestValue);
  settings.txnOps = static_cast<unsigned>(lowerLimit(state, "txn_ops", kLeastTxnOps, 10000));
}

}  // namespace

Address parseAddress(const std::string& textual) {
  auto colon = textual.rfind(':');
  Address a;
  unsigned port = 0, parts = 0;
  bool ok = colon != std::string::npos;
  if (ok) {
    a.ip = textual.substr(0, colon);
    const char* end = textual.data() + textual.size();
    auto [p, ec] = std::from_chars(textual.data() + colon + 1, end, port);
    ok = ec == std::errc{} && p == end && port > 0 && port < 65536;
  }
  std::istringstream in(a.ip);
  for (std::string part; ok && std::getline(in, part, '.'); ++parts) {
    unsigned v = 0;
    auto [p, ec] = std::from_chars(part.data(), part.data() + part.size(), v);
    ok = ec == std::errc{} && p == part.data() + part.size() && v < 256;
  }
  if (!ok || parts != 4) throw SettingsError("'" + textual + "' is not an IPv4 address with a port");
  a.port = static_cast<std::uint16_t>(port);
  return a;
}

// A lease that is shorter is lost for every slow answer of the state service.
constexpr Duration kShortestHold{2'000};

// What an answer may prolong, and the lease after it, must end within cancel_s of a cancellation that the
// answer did not know of (invariant 16). The margin covers drift, a request's way and the steps in which
// silence is noticed; where there is little capacity it shrinks with it.
Duration Settings::margin() const {
  return seconds(std::min(3.0 + 0.005 * cancelDeadlineS, 0.4 * (cancelDeadlineS - workerLeaseS)));
}

Duration Settings::maxCancellationStaleness() const {
  return std::max(seconds(cancelDeadlineS - workerLeaseS) - margin(), Duration{0});
}

// Nobody cancels in our stead before the lease is over, so that a lease longer than
// maxCancellationStaleness() breaks no bound; there is just no grace after it then.
Duration Settings::leaseTtl() const {
  return std::min(tuning.leaseTtl, std::max(maxCancellationStaleness(), kShortestHold));
}

Duration Settings::grace() const { return std::max(maxCancellationStaleness() - leaseTtl(), Duration{0}); }

namespace {
std::optional<double> tightest(const std::vector<ServiceLevelObjective>& objectives,
                               const std::string& jobClass) {
  std::optional<double> best;
  for (const auto& a : objectives)
    if (a.jobClass == jobClass && (!best || a.withinS < *best)) best = a.withinS;
  return best;
}
}  // namespace

std::optional<double> Settings::finishWithin(const std::string& jobClass) const {
  return tightest(finishObjectives, jobClass);
}

std::optional<double> Settings::startWithin(const std::string& jobClass) const {
  return tightest(startObjectives, jobClass);
}

double Settings::maxSpotWaitS() const {
  double s = guaranteeStartWithinS ? 0.75 * *guaranteeStartWithinS : 1e9;
  for (const auto& a : finishObjectives) s = std::min(s, 0.1 * a.withinS);
  return s < 1e9 ? s : 0;
}

const Team* Settings::team(const TeamId& name) const {
  auto it = std::lower_bound(teams.begin(), teams.end(), name,
                             [](const Team& t, const TeamId& n) { return t.name < n; });
  return it != teams.end() && it->name == name ? &*it : nullptr;
}

ShardId Settings::shardOfTeam(const TeamId& name) const {
  const Team* t = team(name);
  return ShardId{t ? static_cast<std::uint32_t>(t - teams.data()) % size() : 0};
}

ShardId Settings::preferredShard(const ControllerId& name) const {
  return ShardId{static_cast<std::uint32_t>(std::find(controllers.begin(), controllers.end(), name) -
                                            controllers.begin())};
}

Settings parseSettings(const std::string& source, const Tuning& tuning) {
  json doc = json::parse(source, nullptr, false);
  if (doc.is_discarded()) throw SettingsError("settings: not JSON");
  if (!doc.is_object()) throw SettingsError("settings: not an object");
  Settings s;
  s.tuning = tuning;
  s.controller = ControllerId{text(doc, "node")};
  s.front = parseAddress(text(doc, "front"));
  s.mesh = parseAddress(text(doc, "mesh_addr"));
  s.controllers.push_back(s.controller);
  for (const auto& e : list(doc, "siblings")) {
    s.siblings.push_back({ControllerId{text(e, "node")}, parseAddress(text(e, "address"))});
    s.controllers.push_back(s.siblings.back().controller);
  }
  std::sort(s.controllers.begin(), s.controllers.end());
  if (std::adjacent_find(s.controllers.begin(), s.controllers.end()) != s.controllers.end())
    throw SettingsError("settings: two controllers have the same name");
  if (s.controllers.size() > 32) throw SettingsError("settings: more than 32 controllers");
  const auto& ends = object(doc, "endpoints");
  s.cloud = parseAddress(text(ends, "cloud"));
  s.state = parseAddress(text(ends, "state"));
  const auto& d = object(doc, "deployment");
  for (const auto& z : list(d, "zones")) {
    if (!z.is_string()) throw SettingsError("settings: a zone is not a string");
    s.zones.push_back(Zone{z.get<std::string>()});
  }
  constexpr double big = 1e9;
  for (const auto& t : list(d, "teams"))
    s.teams.push_back({TeamId{text(t, "name")}, number(t, "cpus", 0, big), limit(t, "cpus_max", big),
                       number(t, "gpus", 0, big), limit(t, "gpus_max", big)});
  std::sort(s.teams.begin(), s.teams.end(), [](const Team& a, const Team& b) { return a.name < b.name; });
  // Aims only guide the order of work: what is not understood is left out.
  if (d.contains("objectives") && d.at("objectives").is_array()) {
    for (const auto& o : d.at("objectives")) {
      if (!o.is_object() || !o.contains("within_s") || !o.at("within_s").is_number()) continue;
      if (o.value("kind", json()) == "guarantee") s.guaranteeStartWithinS = o.at("within_s").get<double>();
      if (!o.contains("class") || !o.at("class").is_string()) continue;
      ServiceLevelObjective objective{o.at("class").get<std::string>(), o.at("within_s").get<double>()};
      auto kind = o.value("kind", json());
      if (kind == "finished") s.finishObjectives.push_back(objective);
      if (kind == "wait") s.startObjectives.push_back(objective);
    }
  }
  const auto& w = object(d, "workers");
  s.heartbeatIntervalS = number(w, "report_s", 0.001, 3600);
  s.workerLeaseS = number(w, "lease_s", 0.001, 86400);
  s.cancelDeadlineS = number(w, "cancel_s", s.workerLeaseS, 86400);
  if (w.contains("gang_wait_s")) s.gangStartTimeoutS = number(w, "gang_wait_s", 0, 86400);
  if (w.contains("gang_peer_s")) s.gangPeerTimeoutS = number(w, "gang_peer_s", 0, 86400);
  const auto& st = object(d, "state");
  applyStateLimits(st, s);
  const auto& c = object(d, "cloud");
  s.cloudRps = number(c, "rps", 0.01, big);
  s.maxListLagS = number(c, "list_lag_s", 0, 3600);
  s.fdLimit = static_cast<unsigned>(number(object(d, "machine_limits"), "fd_limit", 32, 1e6));
  s.clockErrorMs = number(d, "clock_error_ms", 0, 1e6);
  return s;
}

Settings readSettings(const std::string& path, const Tuning& tuning) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError("cannot read settings file '" + path + "'");
  std::ostringstream all;
  all << in.rdbuf();
  return parseSettings(all.str(), tuning);
}

}  // namespace cherryloft
