// One controller: its actors, and who hears what.
#pragma once

#include <map>
#include <memory>

#include "autoscaler/autoscaler.h"
#include "cluster/membership.h"
#include "cluster/peers.h"
#include "controller/user_api.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {

class Controller {
 public:
  Controller(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed);
  void start();
  void request(HttpRequest r, Responder done);
  void frame(const mesh::Frame& f) { peers_.handleFrame(f); }
  ShardCounters counts() const;
  static bool fromWorker(const HttpRequest& r) { return r.target == "/checkin"; }

 private:
  void summarizeLastMinute();
  bool owns() const { return membership_.leaseValidity().owns(runtime_.now()); }
  mesh::PeerHeartbeat heartbeat() const;
  bool mayAnswerFor(const ControllerId& owner, const wire::WorkerHeartbeat& r) const;
  HttpResponse answerFor(const ControllerId& owner, const wire::WorkerHeartbeat& r);
  double fractionOfLimits() const;
  void changed(const wire::KeyChange& c);
  void received(std::uint32_t from, const mesh::Payload& p);
  void takenOver(const ShardTakeover& t);
  void lost(ShardId k);
  void showOf(const std::string& address, HttpDone done);
  void probe(const std::string& address, std::function<void(const std::string& body)> done);
  void jobEnded(const JobId& id, JobStatus s, Version version);
  void sendLoad(const mesh::ShardLoad& l);
  template <class Message>
  using Handler = void (ShardScheduler::*)(const Message&);
  template <class Message>
  void toShard(ShardId shard, const Message& message, Handler<Message> handler);
  template <class Message>
  void toOthersHere(ShardId asking, const Message& message, Handler<Message> handler);
  ShardScheduler* scheduler(ShardId k);
  void jobs(const HttpRequest& r, Responder done);
  void handleHeartbeat(const std::string& body, Responder done);
  void up(Responder done);
  bool serving() const;

  const Settings& settings_;
  Runtime& runtime_;
  Log log_;
  std::mt19937_64 rng_;
  ClusterView view_;
  KeyValueStore store_;
  Peers peers_;
  Membership membership_;
  Autoscaler autoscaler_;
  UserApi userApi_;
  std::map<ShardId, std::unique_ptr<ShardScheduler>> schedulers_;
  // Workers of other controllers' shards that report here.
  struct ForeignWorker {
    ControllerId owner;
    Time since{}, last{}, steered{};
  };
  std::map<MachineId, ForeignWorker> foreignWorkers_;
};

}  // namespace cherryloft
