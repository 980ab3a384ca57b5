// The platform's settings file, checked, and what the operators' own flags and variables add.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
  std::string text() const { return ip + ":" + std::to_string(port); }
};
// Throws SettingsError when the text is no IPv4 address with a port.
Address parseAddress(const std::string& text);

struct Sibling {
  ControllerId controller;
  Address address;
};

struct Team {
  TeamId name;
  double cores = 0, coreQuota = 0, gpus = 0,
         gpuQuota = 0;  // guaranteed, and at most; without a limit infinite
};

// "This fraction of the jobs of a class should be done", or their tasks started, "so long after submission."
struct ServiceLevelObjective {
  std::string jobClass;
  double withinS = 0;
};

// Values the operators may set; the defaults are what OPERATING.md lists.
struct Tuning {
  Duration leaseTtl{3000};
  Duration returnOwnershipAfter{8000};
  Duration moveEvery{30000};
  unsigned sampleSize = 64;     // K
  double spareFraction = 0.25;  // room kept free above what is asked for, as a fraction of it
  std::uint64_t seed = 0;       // 0: from the node's name and the time of day
};

struct Settings {
  ControllerId controller;
  Address front;
  Address mesh;
  std::vector<Sibling> siblings;
  Address cloud;
  Address state;
  std::vector<Zone> zones;
  std::vector<Team> teams;  // sorted by name
  std::vector<ServiceLevelObjective> finishObjectives, startObjectives;
  std::optional<double> guaranteeWithinS;  // "work within a guarantee should have started so soon"
  double reportS = 3, leaseS = 45, cancelS = 75;
  // A gang that is not complete within the first gives up; its members notice a lost one within the second.
  double gangWaitS = 45, gangPeerS = 4;
  // Of the state service: what holds now and what is announced for later, whichever is lower.
  double stateRps = 100, stateWriteRps = 50;
  std::size_t valueBytes = 4096;
  unsigned txnOps = 12;
  double cloudRps = 5, listLagS = 5;
  unsigned fdLimit = 1024;
  double clockErrorMs = 250;
  Tuning tuning;

  std::vector<ControllerId>
      controllers;  // all controllers, sorted; the index is the number of the home shard

  unsigned size() const { return static_cast<unsigned>(controllers.size()); }
  // The life of this controller's lease: the operators' choice, or less where the deployment leaves little
  // room.
  Duration leaseTtl() const;
  // How long after its lease ran out a controller goes on answering heartbeats (invariant 6).
  Duration grace() const;
  // How long after a moment whose cancellations are all known a worker may be answered, though those since
  // are not (invariant 16). Nothing where cancel_s is hardly above lease_s.
  Duration blindFor() const;
  Duration margin() const;
  // Of the sockets allowed, those kept for siblings, the store, the cloud and commands to workers.
  std::size_t keptSockets() const { return fdLimit / 4 + 16; }
  ShardId shardOfTeam(const TeamId& name) const;
  // The shortest time within which jobs of the class should be done, or started, if there is an aim for it.
  std::optional<double> finishWithin(const std::string& jobClass) const;
  std::optional<double> startWithin(const std::string& jobClass) const;
  // How long work may wait for cheap room and still meet what is aimed at, with a reserve.
  double patienceS() const;
  const Team* team(const TeamId& name) const;
  ShardId preferredShard(const ControllerId& name) const;
};

Settings parseSettings(const std::string& source, const Tuning& tuning);
Settings readSettings(const std::string& path, const Tuning& tuning);

}  // namespace cherryloft
