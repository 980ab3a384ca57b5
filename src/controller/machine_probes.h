// Asking a machine for its state: directly, or through peers when it can't be reached from here (invariant
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

  // Asks the machine at that address for its heartbeat. done is called once, with a failed result if the
  // address is none.
  void probeDirectly(const std::string& address, HttpCallback done) const;
  // Asks every peer that is heard to probe the machine. done is told the body for each one that reached it:
  // it may be called never, or more than once.
  void probeThroughPeers(const std::string& address,
                         const std::function<void(const std::string& body)>& done) const;

 private:
  const Settings& settings_;
  Runtime& runtime_;
  Peers& peers_;
};

}  // namespace cherryloft
