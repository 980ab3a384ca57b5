// Controller: creates and wires the components of one controller process, and routes its HTTP requests.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "autoscaler/autoscaler.h"
#include "cluster/membership.h"
#include "cluster/peers.h"
#include "controller/machine_probes.h"
#include "controller/peer_messages.h"
#include "controller/shard_schedulers.h"
#include "controller/user_api.h"
#include "controller/worker_endpoint.h"

namespace cherryloft {

// Single-threaded: every call must come on the runtime's thread. Settings and runtime must outlive it. After
// its destruction the runtime must not run any of its callbacks.
class Controller {
 public:
  // seed: for all random numbers; the same seed and inputs give the same decisions.
  Controller(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void start();
  // Handles a request of a user, a worker or the load balancer; done is called once.
  void handleRequest(HttpRequest request, Responder done);
  // Handles a frame from another controller.
  void handleFrame(const mesh::Frame& frame) { peers_.handleFrame(frame); }
  // Totals over the shards owned now, each counted since its takeover.
  [[nodiscard]] ShardCounters counts() const;
  // Whether the request is a worker's heartbeat: the server applies different rules to their connections.
  [[nodiscard]] static bool isHeartbeatRequest(const HttpRequest& request);

 private:
  // Wiring: the callbacks of each component.
  Peers::Callbacks peersCallbacks();
  Membership::Callbacks membershipCallbacks();
  Autoscaler::Callbacks autoscalerCallbacks();
  UserApi::Callbacks userApiCallbacks();
  WorkerEndpoint::Callbacks workerEndpointCallbacks();
  ShardScheduler::Callbacks schedulerCallbacks(ShardId shard);

  // Ownership of shards.
  void handleTakeover(const ShardTakeover& takeover);
  void dropOwnership(ShardId shard);

  // Shared records and jobs.
  void handleKeyChange(const wire::KeyChange& change);
  void announceJobEnd(const JobId& id, JobStatus status, Version version);
  [[nodiscard]] double storeLimitFraction() const;

  // Messages to other controllers or to local components.
  [[nodiscard]] mesh::PeerHeartbeat composeHeartbeat() const;
  void sendLoad(const mesh::ShardLoad& load);
  void reportUnrecordedMachine(const wire::WorkerHeartbeat& heartbeat, const std::string& body);
  template <class Message>
  void sendToShard(ShardId shard, const Message& message, ShardSchedulers::Handler<Message> handler);
  template <class Message>
  void sendToOtherShards(ShardId requester, const Message& message,
                         ShardSchedulers::Handler<Message> handler);

  // HTTP.
  void answerHealthCheck(const Responder& done) const;
  void handleJobRequest(const HttpRequest& request, const std::string& jobPath, const Responder& done);

  [[nodiscard]] bool holdsLease() const { return membership_.leaseValidity().owns(runtime_.now()); }
  [[nodiscard]] bool isLeader(const ControllerId& controller) const;
  [[nodiscard]] bool serving() const;
  void logMinuteSummary();

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  std::mt19937_64 rng_;
  ClusterView view_;
  KeyValueStore store_;
  Peers peers_;
  MachineProbes machineProbes_;
  ShardSchedulers schedulers_;
  Membership membership_;
  Autoscaler autoscaler_;
  UserApi userApi_;
  WorkerEndpoint workerEndpoint_;
  PeerMessageDispatcher peerMessages_;
};

}  // namespace cherryloft
