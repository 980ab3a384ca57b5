#include "controller/worker_endpoint.h"

#include <algorithm>

#include "wire/users.h"

namespace cherryloft {
namespace {

constexpr Duration kRelayTimeout{2'500};  // workers wait 4 s
// A worker that contacts this controller may have been unable to reach its owner: its heartbeats are relayed
// for this long before it is redirected.
constexpr Duration kRelayBeforeRedirect{8'000};
// A worker not seen for this long is treated as new.
constexpr Duration kWorkerExpiry = 2 * kRelayBeforeRedirect;
// A redirected worker that comes back within this time could not reach its owner.
constexpr Duration kRedirectInterval{60'000};

void respondUnavailable(const Responder& done, const char* reason) {
  done(wire::userErrorResponse(503, reason));
}

}  // namespace

WorkerEndpoint::WorkerEndpoint(const Settings& settings, Runtime& runtime, const ClusterView& view,
                               Peers& peers, Callbacks callbacks)
    : settings_(settings), runtime_(runtime), view_(view), peers_(peers), callbacks_(std::move(callbacks)) {}

const MachineEntry* WorkerEndpoint::findMachine(const MachineId& machine) const {
  auto entry = view_.machines.find(machine);
  return entry == view_.machines.end() ? nullptr : &entry->second;
}

void WorkerEndpoint::handleHeartbeat(const std::string& body, Responder done) {
  auto heartbeat = wire::parseHeartbeat(body);
  if (!heartbeat) return done(wire::userErrorResponse(400, "malformed report"));
  const MachineEntry* machine = findMachine(heartbeat->machine);
  if (!machine) {
    callbacks_.unrecordedMachineSeen(*heartbeat, body);
    return respondUnavailable(done, "unknown machine");
  }
  auto shard = machine->record.shard;
  if (ShardScheduler* scheduler = callbacks_.scheduler(shard)) {
    auto answer = scheduler->handleHeartbeat(*heartbeat);
    return done({answer.status, std::move(answer.body), false, 0});
  }
  const ControllerId* owner = view_.ownerOf(shard);
  if (!owner || *owner == settings_.controller || !view_.alive(*owner))
    return respondUnavailable(done, "share is being taken over");
  forwardToOwner(*owner, body, std::move(*heartbeat), std::move(done));
}

mesh::Answer WorkerEndpoint::handleRelayed(const mesh::RelayedHeartbeat& relayed) {
  auto heartbeat = wire::parseHeartbeat(relayed.body);
  const MachineEntry* machine = heartbeat ? findMachine(heartbeat->machine) : nullptr;
  ShardScheduler* scheduler = machine ? callbacks_.scheduler(machine->record.shard) : nullptr;
  if (!scheduler) return {relayed.id, 503, ""};
  auto answer = scheduler->handleHeartbeat(*heartbeat);
  return {relayed.id, answer.status, std::move(answer.body)};
}

// --- workers of other controllers' shards ---

// The worker's lease and its commands have priority, so the heartbeat is relayed immediately. Only a worker
// that keeps sending here is redirected to its owner; if it comes back, it is relayed for kRedirectInterval.
void WorkerEndpoint::forwardToOwner(const ControllerId& owner, const std::string& body,
                                    wire::WorkerHeartbeat heartbeat, Responder done) {
  auto now = runtime_.now();
  auto ownerNumber = peers_.numberOf(owner);
  auto& worker = trackRemoteWorker(heartbeat.machine, owner, now);
  if (shouldRedirect(worker, ownerNumber, now)) {
    worker.redirectedAt = now;
    return done({421, wire::encodeOwner(owner), true, 0});
  }
  if (!peers_.canReach(ownerNumber)) return done(answerOnBehalfOf(owner, heartbeat));
  peers_.sendRequest(
      owner, mesh::RelayedHeartbeat{0, body}, kRelayTimeout,
      [this, owner, heartbeat = std::move(heartbeat), done = std::move(done)](const mesh::Answer* answer) {
        if (answer && answer->status == 200) return done({200, answer->body, false, 0});
        done(answerOnBehalfOf(owner, heartbeat));
      });
}

WorkerEndpoint::RemoteWorker& WorkerEndpoint::trackRemoteWorker(const MachineId& machine,
                                                                const ControllerId& owner, Time now) {
  auto& worker = remoteWorkers_[machine];
  bool sameOwner = worker.owner == owner;
  if (!sameOwner || now - worker.lastSeenAt > kWorkerExpiry) {
    bool returned = sameOwner && now - worker.redirectedAt < kRedirectInterval;
    worker = {owner, now, now, returned ? worker.redirectedAt : Time{}};
  }
  worker.lastSeenAt = now;
  return worker;
}

bool WorkerEndpoint::shouldRedirect(const RemoteWorker& worker, PeerNumber owner, Time now) const {
  if (worker.redirectedAt != Time{} && now - worker.redirectedAt <= kRedirectInterval) return false;
  if (peers_.canReach(owner))
    return now - worker.firstSeenAt > kRelayBeforeRedirect && peers_.receivesFrom(owner);
  // A worker that was already here when we last heard its owner may still be able to reach the owner.
  return worker.firstSeenAt <= peers_.lastHeartbeatAt(owner);
}

// The worker's token must be from that owner's epoch: a later owner has not allowed us to answer for it.
bool WorkerEndpoint::mayAnswerOnBehalfOf(const ControllerId& owner,
                                         const wire::WorkerHeartbeat& heartbeat) const {
  const MachineEntry* machine = findMachine(heartbeat.machine);
  if (!machine || !callbacks_.leaseValidity().answers(runtime_.now())) return false;
  auto shard = view_.shards.find(machine->record.shard);
  if (shard == view_.shards.end() || shard->second.record.owner != owner) return false;
  auto epoch = shard->second.record.epoch;
  if (epochOf(heartbeat.token) != std::max(machine->record.token, epoch)) return false;
  return peers_.mayProxyFor(peers_.numberOf(owner), shard->first, epoch, callbacks_.jobsRevision());
}

// The owner of the worker's shard is unreachable. We may be partitioned from it together with the worker, so
// we keep the worker's lease alive for a limited time (invariant 15) and its tasks go on running. The answer
// contains no commands except to stop cancelled tasks, as a cancellation is final (invariant 16).
HttpResponse WorkerEndpoint::answerOnBehalfOf(const ControllerId& owner,
                                              const wire::WorkerHeartbeat& heartbeat) {
  if (!mayAnswerOnBehalfOf(owner, heartbeat))
    return wire::userErrorResponse(503, "the owner does not answer");
  peers_.recordProxyAnswerFor(peers_.numberOf(owner));
  auto stopCommands = view_.stopCommandsForCancelled(heartbeat);
  return {200, wire::encodeHeartbeatAnswer(heartbeat.token, stopCommands), false, 0};
}

}  // namespace cherryloft
