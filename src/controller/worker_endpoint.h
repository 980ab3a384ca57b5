// The worker endpoint: answers the heartbeats of workers of all shards. A heartbeat for a shard that we own
// goes to its scheduler; one for a shard of another controller is relayed to the owner, redirected to it
// (421), or, while the owner is unreachable, answered on its behalf (invariant 15).
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

// Runs on the controller's thread; all references must outlive it. Every responder is called once.
class WorkerEndpoint {
 public:
  struct Callbacks {
    // The scheduler of that shard, or null if we don't own it. The pointer is used immediately and not
    // stored.
    std::function<ShardScheduler*(ShardId)> scheduler;
    // Called when a machine without a record sent a heartbeat; body is the request's text.
    std::function<void(const wire::WorkerHeartbeat&, const std::string& body)> unrecordedMachineSeen;
    std::function<LeaseValidity()> leaseValidity;
    // The revision up to which our view contains every change of jobs.
    std::function<Version()> jobsRevision;
  };
  WorkerEndpoint(const Settings& settings, Runtime& runtime, const ClusterView& view, Peers& peers,
                 Callbacks callbacks);

  // Handles a heartbeat that a worker sent to this controller; body is the JSON text.
  void handleHeartbeat(const std::string& body, Responder done);
  // Handles a heartbeat that a peer relayed to us as the owner; status 503 if we are not the owner.
  [[nodiscard]] mesh::Answer handleRelayed(const mesh::RelayedHeartbeat& relayed);

 private:
  // A worker that sends its heartbeats here although another controller owns its shard.
  struct RemoteWorker {
    ControllerId owner;
    Time firstSeenAt{};  // when it appeared here, or its shard changed owner
    Time lastSeenAt{};
    Time redirectedAt{};  // Time{}: never
  };
  [[nodiscard]] const MachineEntry* findMachine(const MachineId& machine) const;
  void forwardToOwner(const ControllerId& owner, const std::string& body, wire::WorkerHeartbeat heartbeat,
                      Responder done);
  RemoteWorker& trackRemoteWorker(const MachineId& machine, const ControllerId& owner, Time now);
  [[nodiscard]] bool shouldRedirect(const RemoteWorker& worker, PeerNumber owner, Time now) const;
  [[nodiscard]] bool mayAnswerOnBehalfOf(const ControllerId& owner,
                                         const wire::WorkerHeartbeat& heartbeat) const;
  HttpResponse answerOnBehalfOf(const ControllerId& owner, const wire::WorkerHeartbeat& heartbeat);

  const Settings& settings_;
  Runtime& runtime_;
  const ClusterView& view_;
  Peers& peers_;
  Callbacks callbacks_;
  std::map<MachineId, RemoteWorker> remoteWorkers_;
};

}  // namespace cherryloft
