// The worker endpoint: answers the heartbeats of workers, whichever controller their shard belongs to. A
// heartbeat for a shard that we own goes to its scheduler; one for another's shard is relayed to the owner,
// sent on to it (421), or, while the owner is out of reach, answered in its name (invariant 15).
#pragma once

#include <functional>
#include <map>
#include <string>

#include "cluster/cluster_view.h"
#include "cluster/membership.h"
#include "cluster/peers.h"
#include "net/server.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

// On the controller's thread; all references must outlive it. Every responder is called once.
class WorkerEndpoint {
 public:
  struct Callbacks {
    // The scheduler of that shard if we own it, or null. Used at once, never kept.
    std::function<ShardScheduler*(ShardId)> scheduler;
    // A machine that no record names sent a heartbeat; the body as it came.
    std::function<void(const wire::WorkerHeartbeat&, const std::string& body)> unrecordedMachineSeen;
    std::function<LeaseValidity()> leaseValidity;
    // The revision up to which our view shows every change of jobs.
    std::function<Version()> jobsKnownUpTo;
  };
  WorkerEndpoint(const Settings& settings, Runtime& runtime, const ClusterView& view, Peers& peers,
                 Callbacks callbacks);

  // A heartbeat that a worker sent here; body is the JSON text.
  void handleHeartbeat(const std::string& body, Responder done);
  // One that a peer relays to us as the owner; status 503 if we are not.
  [[nodiscard]] mesh::Answer handleRelayed(const mesh::RelayedHeartbeat& relayed);

 private:
  // A worker of another controller's shard that sends its heartbeats here.
  struct ForeignWorker {
    ControllerId owner;
    Time firstSeenAt{};  // since it came, or since its shard got that owner
    Time lastSeenAt{};
    Time redirectedAt{};  // Time{}: not yet
  };
  [[nodiscard]] const MachineEntry* find(const MachineId& machine) const;
  void forwardToOwner(const ControllerId& owner, const std::string& body, wire::WorkerHeartbeat heartbeat,
                      Responder done);
  ForeignWorker& noteForeignWorker(const MachineId& machine, const ControllerId& owner, Time now);
  [[nodiscard]] bool shouldRedirect(const ForeignWorker& worker, PeerNumber owner, Time now) const;
  [[nodiscard]] bool mayAnswerInNameOf(const ControllerId& owner,
                                       const wire::WorkerHeartbeat& heartbeat) const;
  HttpResponse answerInNameOf(const ControllerId& owner, const wire::WorkerHeartbeat& heartbeat);

  const Settings& settings_;
  Runtime& runtime_;
  const ClusterView& view_;
  Peers& peers_;
  Callbacks callbacks_;
  std::map<MachineId, ForeignWorker> foreignWorkers_;
};

}  // namespace cherryloft
