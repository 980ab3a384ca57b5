// The platform's settings file, checked, and what the operators' own flags and variables add.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft {

// A settings file, flag or address that can't be used; what() says which part and why, in one line.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An IPv4 address and port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
  [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};
// Throws SettingsError when the text is no IPv4 address with a port.
Address parseAddress(const std::string& text);

// Another controller of the deployment, and where its mesh port is.
struct Sibling {
  ControllerId controller;
  Address address;
};

// Guarantee and quota of a team; a team without a quota has an infinite one.
struct Team {
  TeamId name;
  double cores = 0;  // guaranteed
  double coreQuota = 0;
  double gpus = 0;  // guaranteed
  double gpuQuota = 0;
};

// How long after submission jobs of a class should be done, or their tasks started.
struct ServiceLevelObjective {
  std::string jobClass;
  double withinS = 0;  // seconds
};

// Values the operators may set; the defaults are what OPERATING.md lists.
struct Tuning {
  Duration leaseTtl{3000};              // of this controller's lease in the state service
  Duration ownershipReturnDelay{8000};  // how long a controller must be back before it gets its shard
  Duration idleMachineMoveInterval{
      30000};                   // between two times that idle machines move between shards in bulk
  unsigned sampleSize = 64;     // machines sampled for a placement (K of the design note)
  double spareFraction = 0.25;  // capacity kept free above what is asked for, as a fraction of it
  std::uint64_t seed = 0;       // 0: from the controller's name and the time of day
};

// One controller's settings, checked. Names ending in S are seconds.
struct Settings {
  ControllerId controller;
  Address front;
  Address mesh;
  std::vector<Sibling> siblings;
  Address cloud;
  Address state;
  std::vector<Zone> zones;
  std::vector<Team> teams;  // sorted by name
  std::vector<ServiceLevelObjective> finishObjectives;
  std::vector<ServiceLevelObjective> startObjectives;
  std::optional<double> guaranteeStartWithinS;  // work within a guarantee should have started so soon
  double heartbeatIntervalS = 3;                // between two heartbeats of a worker
  double workerLeaseS = 45;                     // of a worker: it ends its tasks when unanswered for so long
  double cancelDeadlineS = 75;                  // after a confirmed cancellation nothing of the job may run
  double gangStartTimeoutS = 45;                // a gang that is not complete within it gives up
  double gangPeerTimeoutS = 4;                  // within which members of a gang notice a lost one
  // Of the state service: what holds now and what is announced for later, whichever is lower.
  double stateRps = 100;
  double stateWriteRps = 50;
  std::size_t valueBytes = 4096;
  unsigned txnOps = 12;
  double cloudRps = 5;
  double maxListLagS = 5;  // by which the cloud's list of machines may be old
  unsigned fdLimit = 1024;
  double clockErrorMs = 250;
  Tuning tuning;

  // All controllers, sorted: each is the preferred owner of the shard with its index.
  std::vector<ControllerId> controllers;

  [[nodiscard]] unsigned size() const { return static_cast<unsigned>(controllers.size()); }
  // The time to live of this controller's lease: the operators' choice, or less where `lease_s` and
  // `cancel_s` leave little time.
  [[nodiscard]] Duration leaseTtl() const;
  // How long after its lease ran out a controller goes on answering heartbeats (invariant 6).
  [[nodiscard]] Duration grace() const;
  // How long after a moment whose cancellations are all known a worker may be answered, though those since
  // are not (invariant 16). Nothing where cancel_s is hardly above lease_s.
  [[nodiscard]] Duration maxCancellationStaleness() const;
  [[nodiscard]] Duration margin() const;
  // Of the sockets allowed, those kept for siblings, the state service, the cloud and commands to workers.
  [[nodiscard]] std::size_t reservedSockets() const { return fdLimit / 4 + 16; }
  [[nodiscard]] ShardId shardOfTeam(const TeamId& name) const;
  // The shortest time within which jobs of the class should be done, or started, if there is an objective for
  // it.
  [[nodiscard]] std::optional<double> finishWithin(const std::string& jobClass) const;
  [[nodiscard]] std::optional<double> startWithin(const std::string& jobClass) const;
  // How long work may wait for cheap capacity and still meet its objective, with a reserve.
  [[nodiscard]] double maxSpotWaitS() const;
  [[nodiscard]] const Team* team(const TeamId& name) const;
  [[nodiscard]] ShardId preferredShard(const ControllerId& name) const;
};

// Both throw SettingsError on a file that can't be used. `source`: the text of the settings file (JSON).
Settings parseSettings(const std::string& source, const Tuning& tuning);
Settings readSettings(const std::string& path, const Tuning& tuning);

}  // namespace cherryloft
