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

UserResponder asHttp(Responder done) {
  return [done = std::move(done)](const UserAnswer& answer) { done(toHttp(answer)); };
}

void rejectMethod(const Responder& done) { done(wire::userErrorResponse(405, "method not allowed")); }

// " what.name=count" for each, to end a log line.
std::string countsByName(const std::string& what, const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text.append(" ").append(what).append(".").append(name);
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
  // Work ends where the state service is away for longer than lease_s.
  if (settings_.grace() == Duration{0})
    log_->error(
        "no heartbeats are answered without a lease, cancel_s is too close to lease_s cancel_s={} "
        "lease_s={}",
        settings_.cancelDeadlineS, settings_.workerLeaseS);
  membership_.start();
  peers_.start();
  autoscaler_.start();
  logLastMinute();
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
  callbacks.takenOver = [this](const ShardTakeover& takeover) { handleTakeover(takeover); };
  callbacks.lost = [this](ShardId shard) { schedulers_.remove(shard); };
  callbacks.leadershipChanged = [this](bool leads) { autoscaler_.leading(leads); };
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
  callbacks.mayAct = [this] { return holdsLease(); };
  return callbacks;
}

UserApi::Callbacks Controller::userApiCallbacks() {
  UserApi::Callbacks callbacks;
  callbacks.scheduler = [this](ShardId shard) { return schedulers_.find(shard); };
  callbacks.holdsLease = [this] { return holdsLease(); };
  callbacks.recordSeen = [this](const wire::KeyChange& change) { handleKeyChange(change); };
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
  callbacks.jobsKnownUpTo = [this] { return store_.revisionOf(keys::kJobs); };
  return callbacks;
}

ShardScheduler::Callbacks Controller::schedulerCallbacks(ShardId shard) {
  ShardScheduler::Callbacks callbacks;
  callbacks.jobEnded = [this](const JobId& id, JobStatus status, Version version) {
    handleJobEnded(id, status, version);
  };
  callbacks.load = [this](const mesh::ShardLoad& load) { sendLoad(load); };
  // From a timer of its own, as the scheduler asks for its own end.
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
  callbacks.answeredElsewhere = [this] { return peers_.mayHaveBeenAnsweredForUntil(); };
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
  if (keys::isUnder(change.key, keys::kJobs)) {
    schedulers_.jobChanged(JobId{change.key.substr(keys::kJobs.size())});
  } else if (keys::isUnder(change.key, keys::kMachines)) {
    for (const auto& machine : machines) schedulers_.machineChanged(machine);
  } else if (store_.cachesLoaded()) {
    membership_.changed();
    store_.setFractionOfLimits(fractionOfLimits());
  }
}

void Controller::handleJobEnded(const JobId& id, JobStatus status, Version version) {
  view_.jobEnded(id, status, version);
  schedulers_.jobChanged(id);
  // Whoever answers workers or users should know before the user does; no bound depends on it.
  peers_.sendAll(mesh::JobEnded{id.value, status == JobStatus::Done, version.value});
}

// Most of what is asked of the state service is asked for a shard, by its owner, and for machines, by the
// leader; the rest by every living controller. So each gets a part of the limits by its duties.
double Controller::fractionOfLimits() const {
  constexpr double kControllerWeight = 0.5;
  constexpr double kLeaderWeight = 0.75;
  double ours = 0;
  double total = 0;
  for (const auto& controller : settings_.controllers) {
    bool counts = view_.alive(controller) || controller == settings_.controller;
    double weight = counts ? kControllerWeight : 0;
    for (const auto& [_, owner] : view_.shards)
      if (owner.record.owner == controller) weight += 1;
    if (isLeader(controller)) weight += kLeaderWeight;
    total += weight;
    if (controller == settings_.controller) ours = weight;
  }
  return ours / total;
}

// --- messages ---

mesh::PeerHeartbeat Controller::composeHeartbeat() const {
  mesh::PeerHeartbeat heartbeat;
  heartbeat.serving = serving();
  auto ownsFor = membership_.leaseValidity().ownsUntil - runtime_.now();
  heartbeat.leaseRemainingMs = std::max(ownsFor.count(), std::int64_t{0});
  for (const auto& [shard, epoch] : membership_.owned()) {
    const ShardScheduler* scheduler = schedulers_.find(shard);
    if (scheduler && scheduler->knowsCancellations())
      heartbeat.owns.push_back({shard.value, epoch.value, scheduler->lastCancelled().value});
  }
  return heartbeat;
}

void Controller::sendLoad(const mesh::ShardLoad& load) {
  if (!view_.leader) return;
  if (isLeader(settings_.controller))
    autoscaler_.load(load);
  else
    peers_.send(view_.leader->record.owner, load);
}

void Controller::reportUnrecordedMachine(const wire::WorkerHeartbeat& heartbeat, const std::string& body) {
  if (!view_.leader) return;
  if (isLeader(settings_.controller))
    autoscaler_.unrecordedMachineSeen(heartbeat);
  else
    peers_.send(view_.leader->record.owner, mesh::UnrecordedMachineSeen{body});
}

// To the scheduler of a shard, here or at the controller that owns it.
template <class Message>
void Controller::sendToShard(ShardId shard, const Message& message,
                             ShardSchedulers::Handler<Message> handler) {
  if (schedulers_.find(shard))
    schedulers_.deliver(shard, message, handler);
  else if (const ControllerId* owner = view_.ownerOf(shard))
    peers_.send(*owner, message);
}

// To the schedulers of all shards but the one that asks, here and at the other controllers.
template <class Message>
void Controller::sendToOtherShards(ShardId asking, const Message& message,
                                   ShardSchedulers::Handler<Message> handler) {
  peers_.sendAll(message);
  schedulers_.deliverToOthers(asking, message, handler);
}

// --- HTTP ---

bool Controller::isWorkerRequest(const HttpRequest& request) { return request.target == kHeartbeatPath; }

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
    if (!store_.cachesLoaded()) return done(toHttp(Unavailable{"starting"}));
    return userApi_.submit(request.body, asHttp(std::move(done)));
  }
  if (path.starts_with(kJobPrefix)) return handleJobRequest(request, path.substr(kJobPrefix.size()), done);
  done(wire::userErrorResponse(404, "no such path"));
}

// jobPath: the job's id, with the cancel suffix if it is to be cancelled.
void Controller::handleJobRequest(const HttpRequest& request, const std::string& jobPath,
                                  const Responder& done) {
  bool cancel = jobPath.size() > kCancelSuffix.size() && jobPath.ends_with(kCancelSuffix);
  JobId id{cancel ? jobPath.substr(0, jobPath.size() - kCancelSuffix.size()) : jobPath};
  if (request.method != (cancel ? "POST" : "GET")) return rejectMethod(done);
  if (!wire::isJobId(id.value)) return done(toHttp(NoSuchJob{}));
  if (!store_.cachesLoaded()) return done(toHttp(Unavailable{"starting"}));
  if (cancel)
    userApi_.cancel(id, asHttp(done));
  else
    userApi_.poll(id, asHttp(done));
}

void Controller::answerHealthCheck(const Responder& done) const {
  // Out of service only if the state service is lost to us alone: were it lost to all, taking all out would
  // help nobody. One that hears no peer either can't know, and can't take requests whichever it is (invariant
  // 13).
  bool cutOff = !settings_.siblings.empty() && !peers_.hearsAny();
  bool storeLostToUsAlone = !holdsLease() && (cutOff || peers_.anyPeerHoldsLease());
  if (serving() && !storeLostToUsAlone) return done({200, "{}", false, 0});
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
  });
  return sum;
}

// What the controller did in the last minute, for operators (OPERATING.md).
void Controller::logLastMinute() {
  runtime_.after(kSummaryInterval, [this] { logLastMinute(); });
  auto tally = store_.takeTally();
  schedulers_.forEach(
      [this](ShardScheduler& scheduler) { log_->info("last minute: {}", scheduler.summarizeLastMinute()); });
  log_->info("last minute: state service refused={} timed_out={}{}{}", tally.throttled, tally.expired,
             countsByName("requests", tally.requestsByOperation),
             countsByName("changes", tally.writesByPrefix));
}

}  // namespace cherryloft
