// Probes the state of a machine: directly, or through peers when it can't be reached from here (invariant
// 11).
#pragma once

#include <functional>
#include <string>

#include "cluster/peers.h"

namespace cherryloft {

// Stateless; all references must outlive it and the calls under way.
class MachineProbes {
 public:
  MachineProbes(const Settings& settings, Runtime& runtime, Peers& peers)
      : settings_(settings), runtime_(runtime), peers_(peers) {}

  // Requests the heartbeat of the machine at that address. done is called once, with a failed result if the
  // address is invalid.
  void probeDirectly(const std::string& address, HttpCallback done) const;
  // Asks every peer whose heartbeats we receive to probe the machine. done is called with the body for each
  // peer that reached the machine, so possibly never or several times.
  void probeThroughPeers(const std::string& address,
                         const std::function<void(const std::string& body)>& done) const;

 private:
  const Settings& settings_;
  Runtime& runtime_;
  Peers& peers_;
};

}  // namespace cherryloft
