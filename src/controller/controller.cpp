#include "controller/controller.h"

#include <algorithm>
#include <map>

#include "wire/users.h"

namespace cherryloft {
namespace {

constexpr Duration kSummaryInterval{60'000};

const std::string kHealthPath = "/up";
const std::string kHeartbeatPath = "/checkin";
const std::string kJobsPath = "/v1/jobs";
const std::string kJobPrefix = "/v1/jobs/";
const std::string kCancelSuffix = "/withdraw";

UserResponder toHttpResponder(Responder done) {
  return [done = std::move(done)](const UserResponse& answer) { done(toHttpResponse(answer)); };
}

void rejectMethod(const Responder& done) { done(wire::userErrorResponse(405, "method not allowed")); }

// Formats each count as " category.name=count", to be appended to a log line.
std::string countsByName(const std::string& category, const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text.append(" ").append(category).append(".").append(name);
    text.append("=").append(std::to_string(count));
  }
  return text;
}

}  // namespace

Controller::Controller(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      rng_(seed),
      store_(settings, runtime, log, rng_()),
      peers_(settings, runtime, peersCallbacks()),
      machineProbes_(settings, runtime, peers_),
      membership_(settings, runtime, log, store_, view_, membershipCallbacks()),
      autoscaler_(settings, runtime, log, store_, view_, rng_(), autoscalerCallbacks()),
      userApi_(settings, runtime, store_, view_, peers_, userApiCallbacks()),
      workerEndpoint_(settings, runtime, view_, peers_, workerEndpointCallbacks()),
      peerMessages_({view_, peers_, autoscaler_, userApi_, workerEndpoint_, machineProbes_, schedulers_}) {}

void Controller::start() {
  for (const auto& prefix : {keys::kJobs, keys::kMachines, keys::kShards, keys::kControllers})
    store_.watch(prefix, [this](const wire::KeyChange& change) { handleKeyChange(change); });
  // Then running tasks end when the state service is unavailable for longer than lease_s.
  if (settings_.grace() == Duration{0})
    log_->error(
        "no heartbeats are answered without a lease, as cancel_s is too close to lease_s: cancel_s={} "
        "lease_s={}",
        settings_.cancelDeadlineS, settings_.workerLeaseS);
  membership_.start();
  peers_.start();
  autoscaler_.start();
  logMinuteSummary();
}

// --- wiring ---

Peers::Callbacks Controller::peersCallbacks() {
  Peers::Callbacks callbacks;
  callbacks.received = [this](PeerNumber from, const mesh::Payload& payload) {
    peerMessages_.dispatch(from, payload);
  };
  callbacks.heartbeat = [this] { return composeHeartbeat(); };
  return callbacks;
}

Membership::Callbacks Controller::membershipCallbacks() {
  Membership::Callbacks callbacks;
  callbacks.leaseValidityChanged = [this](const LeaseValidity& validity) {
    schedulers_.forEach([&validity](ShardScheduler& scheduler) { scheduler.leaseValidity(validity); });
  };
  callbacks.shardAcquired = [this](const ShardTakeover& takeover) { handleTakeover(takeover); };
  callbacks.lost = [this](ShardId shard) { schedulers_.remove(shard); };
  callbacks.leadershipChanged = [this](bool leads) { autoscaler_.handleLeadershipChange(leads); };
  callbacks.returnToPreferredOwner = [this](ShardId shard, const ControllerId& to) {
    if (auto* scheduler = schedulers_.find(shard)) scheduler->returnToPreferredOwner(to);
  };
  return callbacks;
}

Autoscaler::Callbacks Controller::autoscalerCallbacks() {
  Autoscaler::Callbacks callbacks;
  callbacks.sendDirective = [this](const mesh::MachineDirective& directive) {
    sendToShard(ShardId{directive.shard}, directive, &ShardScheduler::handleDirective);
  };
  callbacks.holdsLease = [this] { return holdsLease(); };
  return callbacks;
}

UserApi::Callbacks Controller::userApiCallbacks() {
  UserApi::Callbacks callbacks;
  callbacks.scheduler = [this](ShardId shard) { return schedulers_.find(shard); };
  callbacks.holdsLease = [this] { return holdsLease(); };
  callbacks.recordObserved = [this](const wire::KeyChange& change) { handleKeyChange(change); };
  callbacks.jobEnded = [this](const JobId& id, JobStatus status) { view_.jobEnded(id, status); };
  return callbacks;
}

WorkerEndpoint::Callbacks Controller::workerEndpointCallbacks() {
  WorkerEndpoint::Callbacks callbacks;
  callbacks.scheduler = [this](ShardId shard) { return schedulers_.find(shard); };
  callbacks.unrecordedMachineSeen = [this](const wire::WorkerHeartbeat& heartbeat, const std::string& body) {
    reportUnrecordedMachine(heartbeat, body);
  };
  callbacks.leaseValidity = [this] { return membership_.leaseValidity(); };
  callbacks.jobsRevision = [this] { return store_.revisionOf(keys::kJobs); };
  return callbacks;
}

ShardScheduler::Callbacks Controller::schedulerCallbacks(ShardId shard) {
  ShardScheduler::Callbacks callbacks;
  callbacks.jobEnded = [this](const JobId& id, JobStatus status, Version version) {
    announceJobEnd(id, status, version);
  };
  callbacks.load = [this](const mesh::ShardLoad& load) { sendLoad(load); };
  // Deferred to a timer, as this destroys the scheduler that is calling.
  callbacks.dropOwnership = [this, shard] {
    runtime_.after(Duration{0}, [this, shard] { dropOwnership(shard); });
  };
  callbacks.probe = [this](const std::string& address, std::function<void(const std::string&)> done) {
    machineProbes_.probeThroughPeers(address, done);
  };
  callbacks.transferOwnership = [this, shard](Version version, const ControllerId& to,
                                              std::function<void(bool)> done) {
    membership_.transferOwnership(shard, version, to, [done = std::move(done)](TransferOutcome outcome) {
      done(outcome == TransferOutcome::Released);
    });
  };
  callbacks.answeredByPeersUntil = [this] { return peers_.latestPossibleProxyAnswer(); };
  callbacks.requestCapacity = [this, shard](const mesh::CapacityRequest& request) {
    sendToOtherShards(shard, request, &ShardScheduler::handleCapacityRequest);
  };
  callbacks.offerCapacity = [this](const mesh::CapacityOffer& offer) {
    sendToShard(ShardId{offer.toShard}, offer, &ShardScheduler::handleCapacityOffer);
  };
  callbacks.requestTaskCapacity = [this, shard](const mesh::TaskCapacityRequest& request) {
    sendToOtherShards(shard, request, &ShardScheduler::handleTaskCapacityRequest);
  };
  callbacks.offerTaskCapacity = [this](const mesh::TaskCapacityOffer& offer) {
    sendToShard(ShardId{offer.toShard}, offer, &ShardScheduler::handleTaskCapacityOffer);
  };
  return callbacks;
}

// --- ownership of shards ---

void Controller::handleTakeover(const ShardTakeover& takeover) {
  auto scheduler = std::make_unique<ShardScheduler>(settings_, runtime_, log_, store_, view_, takeover,
                                                    membership_.leaseValidity(), rng_(),
                                                    schedulerCallbacks(takeover.shard));
  schedulers_.replace(takeover.shard, std::move(scheduler)).start();
}

void Controller::dropOwnership(ShardId shard) {
  membership_.dropOwnership(shard);
  schedulers_.remove(shard);
}

// --- shared records and jobs ---

void Controller::handleKeyChange(const wire::KeyChange& change) {
  auto machines = view_.apply(change, log_);
  if (keys::hasPrefix(change.key, keys::kJobs)) {
    schedulers_.jobChanged(JobId{change.key.substr(keys::kJobs.size())});
  } else if (keys::hasPrefix(change.key, keys::kMachines)) {
    for (const auto& machine : machines) schedulers_.machineChanged(machine);
  } else if (store_.cachesLoaded()) {
    membership_.changed();
    store_.setFractionOfLimits(storeLimitFraction());
  }
}

// Controllers that answer workers or users should learn of the end before the user does; no guarantee depends
// on it. Our own view shows it already, as it shows everything that we committed.
void Controller::announceJobEnd(const JobId& id, JobStatus status, Version version) {
  peers_.broadcast(mesh::JobEnded{id.value, status == JobStatus::Done, version.value});
}

// Most requests to the state service are made by owners for their shards and by the leader for machines; the
// rest by every live controller. So the rate limits are divided according to these duties.
double Controller::storeLimitFraction() const {
  constexpr double kControllerWeight = 0.5;
  constexpr double kLeaderWeight = 0.75;
  double ownWeight = 0;
  double totalWeight = 0;
  for (const auto& controller : settings_.controllers) {
    bool counts = view_.alive(controller) || controller == settings_.controller;
    double weight = counts ? kControllerWeight : 0;
    for (const auto& [_, owner] : view_.shards)
      if (owner.record.owner == controller) weight += 1;
    if (isLeader(controller)) weight += kLeaderWeight;
    totalWeight += weight;
    if (controller == settings_.controller) ownWeight = weight;
  }
  return ownWeight / totalWeight;
}

// --- messages ---

mesh::PeerHeartbeat Controller::composeHeartbeat() const {
  mesh::PeerHeartbeat heartbeat;
  heartbeat.serving = serving();
  auto ownershipLeft = membership_.leaseValidity().ownsUntil - runtime_.now();
  heartbeat.leaseRemainingMs = std::max(ownershipLeft.count(), std::int64_t{0});
  for (const auto& [shard, epoch] : membership_.owned()) {
    const ShardScheduler* scheduler = schedulers_.find(shard);
    if (scheduler && scheduler->knowsCancellations())
      heartbeat.owns.push_back({shard.value, epoch.value, scheduler->lastCancellationVersion().value});
  }
  return heartbeat;
}

void Controller::sendLoad(const mesh::ShardLoad& load) {
  if (!view_.leader) return;
  if (isLeader(settings_.controller))
    autoscaler_.handleShardLoad(load);
  else
    peers_.send(view_.leader->record.owner, load);
}

void Controller::reportUnrecordedMachine(const wire::WorkerHeartbeat& heartbeat, const std::string& body) {
  if (!view_.leader) return;
  if (isLeader(settings_.controller))
    autoscaler_.handleUnrecordedMachine(heartbeat);
  else
    peers_.send(view_.leader->record.owner, mesh::UnrecordedMachineSeen{body});
}

// Sends a message to the scheduler of a shard, in this process or at the controller that owns the shard.
template <class Message>
void Controller::sendToShard(ShardId shard, const Message& message,
                             ShardSchedulers::Handler<Message> handler) {
  if (schedulers_.find(shard))
    schedulers_.deliver(shard, message, handler);
  else if (const ControllerId* owner = view_.ownerOf(shard))
    peers_.send(*owner, message);
}

// Sends a message to the schedulers of all shards except the requester, in this process and at other
// controllers.
template <class Message>
void Controller::sendToOtherShards(ShardId requester, const Message& message,
                                   ShardSchedulers::Handler<Message> handler) {
  peers_.broadcast(message);
  schedulers_.deliverToOthers(requester, message, handler);
}

// --- HTTP ---

bool Controller::isHeartbeatRequest(const HttpRequest& request) { return request.target == kHeartbeatPath; }

void Controller::handleRequest(HttpRequest request, Responder done) {
  auto path = request.target.substr(0, request.target.find('?'));
  if (path == kHealthPath) {
    if (request.method != "GET") return rejectMethod(done);
    return answerHealthCheck(done);
  }
  if (path == kHeartbeatPath) {
    if (request.method != "POST") return rejectMethod(done);
    return workerEndpoint_.handleHeartbeat(request.body, std::move(done));
  }
  if (path == kJobsPath) {
    if (request.method != "POST") return rejectMethod(done);
    if (!store_.cachesLoaded()) return done(toHttpResponse(Unavailable{"starting"}));
    return userApi_.submit(request.body, toHttpResponder(std::move(done)));
  }
  if (path.starts_with(kJobPrefix)) return handleJobRequest(request, path.substr(kJobPrefix.size()), done);
  done(wire::userErrorResponse(404, "no such path"));
}

// jobPath: the job's id, followed by kCancelSuffix for a cancellation.
void Controller::handleJobRequest(const HttpRequest& request, const std::string& jobPath,
                                  const Responder& done) {
  bool cancel = jobPath.size() > kCancelSuffix.size() && jobPath.ends_with(kCancelSuffix);
  JobId id{cancel ? jobPath.substr(0, jobPath.size() - kCancelSuffix.size()) : jobPath};
  if (request.method != (cancel ? "POST" : "GET")) return rejectMethod(done);
  if (!wire::isJobId(id.value)) return done(toHttpResponse(JobNotFound{}));
  if (!store_.cachesLoaded()) return done(toHttpResponse(Unavailable{"starting"}));
  if (cancel)
    userApi_.cancel(id, toHttpResponder(done));
  else
    userApi_.poll(id, toHttpResponder(done));
}

void Controller::answerHealthCheck(const Responder& done) const {
  // Unhealthy only if we alone lost the state service: if all controllers lost it, removing all of them from
  // the load balancer would help nobody. A controller that hears no peer either can't tell the two cases
  // apart, but can't serve requests in either (invariant 13).
  bool isolated = !settings_.siblings.empty() && !peers_.receivesFromAny();
  bool onlyWeLostStore = !holdsLease() && (isolated || peers_.anyPeerHoldsLease());
  if (serving() && !onlyWeLostStore) return done({200, "{}", false, 0});
  done({503, R"({"error":"not serving"})", false, 0});
}

// --- state ---

bool Controller::isLeader(const ControllerId& controller) const {
  return view_.leader && view_.leader->record.owner == controller;
}

bool Controller::serving() const { return store_.cachesLoaded() && !view_.catalog.empty(); }

ShardCounters Controller::counts() const {
  ShardCounters sum;
  schedulers_.forEach([&sum](const ShardScheduler& scheduler) {
    const auto& counts = scheduler.counts();
    sum.starts += counts.starts;
    sum.machinesExamined += counts.machinesExamined;
    sum.quarantined += counts.quarantined;
    sum.tokenRaises += counts.tokenRaises;
    sum.attemptsReappeared += counts.attemptsReappeared;
  });
  return sum;
}

// Logs a summary of the last minute for operators (OPERATING.md).
void Controller::logMinuteSummary() {
  runtime_.after(kSummaryInterval, [this] { logMinuteSummary(); });
  auto tally = store_.takeCounters();
  schedulers_.forEach([this](ShardScheduler& scheduler) {
    for (const auto& line : scheduler.summarizeLastMinute()) log_->info("last minute: {}", line);
  });
  log_->info("last minute: state service refused={} timed_out={}{}{}", tally.throttled, tally.expired,
             countsByName("requests", tally.requestsByOperation),
             countsByName("changes", tally.writesByPrefix));
}

}  // namespace cherryloft
