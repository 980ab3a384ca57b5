// The validated contents of the platform's settings file, and the tuning values from command line and
// environment.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/fencing_token.h"
#include "base/types.h"

namespace cherryloft {

// An invalid settings file, option or address. what() is one line that names the part and the reason.
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
// Throws SettingsError when the text is not an IPv4 address with a port.
Address parseAddress(const std::string& text);

// Another controller of the deployment, with the address of its mesh port.
struct Sibling {
  ControllerId controller;
  Address address;
};

// A team's guarantee and quota; no quota is represented as infinity.
struct Team {
  TeamId name;
  double cores = 0;  // guaranteed
  double coreQuota = 0;
  double gpus = 0;  // guaranteed
  double gpuQuota = 0;
};

// The time after submission within which jobs of a class should be done, or their tasks started.
struct ServiceLevelObjective {
  std::string jobClass;
  double withinS = 0;  // seconds
};

// Values that operators may set; OPERATING.md lists the defaults.
struct Tuning {
  Duration leaseTtl{3000};  // of this controller's lease in the state service
  // How long a returning controller must hold its lease before it gets its preferred shard back.
  Duration ownershipReturnDelay{8000};
  Duration idleMachineMoveInterval{30000};  // between bulk moves of idle machines between shards
  unsigned sampleSize = 64;                 // machines sampled for a placement (K of the design note)
  double spareFraction = 0.25;              // capacity kept free beyond the demand, as a fraction of it
  std::uint64_t seed = 0;                   // 0: derived from the controller's name and the wall clock
};

// One controller's settings, validated. Names ending in S are in seconds.
struct Settings {
  ControllerId controller;
  Address front;  // where users and workers connect
  Address mesh;
  std::vector<Sibling> siblings;
  Address cloud;
  Address state;
  std::vector<Zone> zones;
  std::vector<Team> teams;  // sorted by name
  std::vector<ServiceLevelObjective> finishObjectives;
  std::vector<ServiceLevelObjective> startObjectives;
  std::optional<double> guaranteeStartWithinS;  // for tasks within their team's guarantee
  double heartbeatIntervalS = 3;                // of workers
  double workerLeaseS = 45;                     // a worker without an answer for this long stops its tasks
  double cancelDeadlineS = 75;    // no task may run this long after its job's cancellation was confirmed
  double gangStartTimeoutS = 45;  // a gang that is not complete by then fails
  double gangPeerTimeoutS = 4;    // within which members of a gang detect a lost one
  // Limits of the state service: the lower of the current limit and the one announced for later.
  double stateRps = 100;
  double stateWriteRps = 50;
  std::size_t maxValueBytes = 4096;
  unsigned txnOps = 12;
  double cloudRps = 5;
  double listLagS = 5;  // by how much the cloud's list of machines may lag behind
  unsigned fdLimit = 1024;
  double clockErrorMs = 250;
  // Fencing tokens that an owner has for a machine under one epoch; not read from the file.
  std::uint64_t tokenGenerations = kTokenGenerations;
  Tuning tuning;

  // All controllers, sorted by name; each is the preferred owner of the shard with its index.
  std::vector<ControllerId> controllers;

  [[nodiscard]] unsigned size() const { return static_cast<unsigned>(controllers.size()); }
  // The time to live of this controller's lease: Tuning::leaseTtl, or less if `cancel_s` is only slightly
  // longer than `lease_s`.
  [[nodiscard]] Duration leaseTtl() const;
  // How long a controller keeps answering heartbeats after its lease expired (invariant 6).
  [[nodiscard]] Duration grace() const;
  // How long workers may be answered on the basis of an older state of the cancellations: at most this long
  // after the time up to which all of them are known (invariant 16). Zero if cancel_s is hardly longer than
  // lease_s.
  [[nodiscard]] Duration maxCancellationStaleness() const;
  // Part of the time between lease_s and cancel_s that is kept in reserve for delays and clock drift.
  [[nodiscard]] Duration cancelMargin() const;
  // Part of fdLimit reserved for siblings, the state service, the cloud and commands to workers.
  [[nodiscard]] std::size_t reservedSockets() const { return fdLimit / 4 + 16; }
  [[nodiscard]] ShardId shardOfTeam(const TeamId& name) const;
  // The strictest objective for the class's completion, or start, if there is one; in seconds.
  [[nodiscard]] std::optional<double> finishWithin(const std::string& jobClass) const;
  [[nodiscard]] std::optional<double> startWithin(const std::string& jobClass) const;
  // How long tasks may wait for spot capacity and still meet all objectives, with a reserve.
  [[nodiscard]] double maxSpotWaitS() const;
  // nullptr if there is no such team.
  [[nodiscard]] const Team* team(const TeamId& name) const;
  [[nodiscard]] ShardId preferredShard(const ControllerId& name) const;
};

// Both throw SettingsError on an invalid file. `contents`: of the settings file (JSON).
Settings parseSettings(const std::string& contents, const Tuning& tuning);
Settings readSettings(const std::string& path, const Tuning& tuning);

}  // namespace cherryloft
