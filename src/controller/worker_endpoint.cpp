#include "controller/worker_endpoint.h"

#include <algorithm>

#include "wire/users.h"

namespace cherryloft {
namespace {

constexpr Duration kRelayTimeout{2'500};  // workers wait 4 s
// A worker that comes here may have found its owner out of reach: it is relayed for so long before it is sent
// on.
constexpr Duration kRelayBeforeRedirect{8'000};
// A worker not seen for so long begins anew.
constexpr Duration kForgetAfter = 2 * kRelayBeforeRedirect;
// One sent on to its owner that comes back sooner than this has not reached it.
constexpr Duration kRedirectInterval{60'000};

void refuse(const Responder& done, const char* why) { done(wire::userErrorResponse(503, why)); }

}  // namespace

WorkerEndpoint::WorkerEndpoint(const Settings& settings, Runtime& runtime, const ClusterView& view,
                               Peers& peers, Callbacks callbacks)
    : settings_(settings), runtime_(runtime), view_(view), peers_(peers), callbacks_(std::move(callbacks)) {}

const MachineEntry* WorkerEndpoint::find(const MachineId& machine) const {
  auto entry = view_.machines.find(machine);
  return entry == view_.machines.end() ? nullptr : &entry->second;
}

void WorkerEndpoint::handleHeartbeat(const std::string& body, Responder done) {
  auto heartbeat = wire::parseHeartbeat(body);
  if (!heartbeat) return done(wire::userErrorResponse(400, "malformed report"));
  const MachineEntry* machine = find(heartbeat->machine);
  if (!machine) {
    callbacks_.unrecordedMachineSeen(*heartbeat, body);
    return refuse(done, "unknown machine");
  }
  auto shard = machine->record.shard;
  if (ShardScheduler* scheduler = callbacks_.scheduler(shard)) {
    auto answer = scheduler->handleHeartbeat(*heartbeat);
    return done({answer.status, std::move(answer.body), false, 0});
  }
  const ControllerId* owner = view_.ownerOf(shard);
  if (!owner || *owner == settings_.controller || !view_.alive(*owner))
    return refuse(done, "share is being taken over");
  forwardToOwner(*owner, body, std::move(*heartbeat), std::move(done));
}

mesh::Answer WorkerEndpoint::handleRelayed(const mesh::RelayedHeartbeat& relayed) {
  auto heartbeat = wire::parseHeartbeat(relayed.body);
  const MachineEntry* machine = heartbeat ? find(heartbeat->machine) : nullptr;
  ShardScheduler* scheduler = machine ? callbacks_.scheduler(machine->record.shard) : nullptr;
  if (!scheduler) return {relayed.id, 503, ""};
  auto answer = scheduler->handleHeartbeat(*heartbeat);
  return {relayed.id, answer.status, std::move(answer.body)};
}

// --- workers of other controllers' shards ---

// The worker's lease and its commands come first: the heartbeat is relayed at once. Only a worker that stays
// is sent on to its owner, and one that comes back from there is relayed for long.
void WorkerEndpoint::forwardToOwner(const ControllerId& owner, const std::string& body,
                                    wire::WorkerHeartbeat heartbeat, Responder done) {
  auto now = runtime_.now();
  auto ownerNumber = peers_.numberOf(owner);
  auto& worker = noteForeignWorker(heartbeat.machine, owner, now);
  if (shouldRedirect(worker, ownerNumber, now)) {
    worker.redirectedAt = now;
    return done({421, wire::encodeOwner(owner), true, 0});
  }
  if (!peers_.reaches(ownerNumber)) return done(answerInNameOf(owner, heartbeat));
  peers_.ask(
      owner, mesh::RelayedHeartbeat{0, body}, kRelayTimeout,
      [this, owner, heartbeat = std::move(heartbeat), done = std::move(done)](const mesh::Answer* answer) {
        if (answer && answer->status == 200) return done({200, answer->body, false, 0});
        done(answerInNameOf(owner, heartbeat));
      });
}

WorkerEndpoint::ForeignWorker& WorkerEndpoint::noteForeignWorker(const MachineId& machine,
                                                                 const ControllerId& owner, Time now) {
  auto& worker = foreignWorkers_[machine];
  bool sameOwner = worker.owner == owner;
  if (!sameOwner || now - worker.lastSeenAt > kForgetAfter) {
    bool returned = sameOwner && now - worker.redirectedAt < kRedirectInterval;
    worker = {owner, now, now, returned ? worker.redirectedAt : Time{}};
  }
  worker.lastSeenAt = now;
  return worker;
}

bool WorkerEndpoint::shouldRedirect(const ForeignWorker& worker, PeerNumber owner, Time now) const {
  if (worker.redirectedAt != Time{} && now - worker.redirectedAt <= kRedirectInterval) return false;
  if (peers_.reaches(owner)) return now - worker.firstSeenAt > kRelayBeforeRedirect && peers_.hears(owner);
  // One that has been here since before we lost sight of its owner may well find it by itself.
  return worker.firstSeenAt <= peers_.lastHeardAt(owner);
}

// The worker's token must be that owner's own: whoever came after it has not allowed us to answer.
bool WorkerEndpoint::mayAnswerInNameOf(const ControllerId& owner,
                                       const wire::WorkerHeartbeat& heartbeat) const {
  const MachineEntry* machine = find(heartbeat.machine);
  if (!machine || !callbacks_.leaseValidity().answers(runtime_.now())) return false;
  auto shard = view_.shards.find(machine->record.shard);
  if (shard == view_.shards.end() || shard->second.record.owner != owner) return false;
  auto epoch = shard->second.record.epoch;
  if (epochOf(heartbeat.token) != std::max(machine->record.token, epoch)) return false;
  return peers_.mayAnswerFor(peers_.numberOf(owner), shard->first, epoch, callbacks_.jobsKnownUpTo());
}

// The owner of the worker's shard is out of reach. Cut off together with the worker we keep its lease alive
// for a while (invariant 15): what it runs goes on. It gets no commands but to stop what is cancelled, which
// is final (invariant 16).
HttpResponse WorkerEndpoint::answerInNameOf(const ControllerId& owner,
                                            const wire::WorkerHeartbeat& heartbeat) {
  if (!mayAnswerInNameOf(owner, heartbeat)) return wire::userErrorResponse(503, "the owner does not answer");
  peers_.recordAnswerInNameOf(peers_.numberOf(owner));
  auto stops = view_.stopCommandsForCancelled(heartbeat);
  return {200, wire::encodeHeartbeatAnswer(heartbeat.token, stops), false, 0};
}

}  // namespace cherryloft
