#include "controller/controller.h"

#include "wire/users.h"

namespace cherryloft {
namespace {
constexpr Duration kAccount{60'000};
constexpr Duration kShow{2'000};
constexpr Duration kRelay{2'500};        // workers wait 4 s
constexpr Duration kRelayFirst{8'000};   // a worker that comes here may have found its owner out of reach
constexpr Duration kSteerAgain{60'000};  // one sent on to its owner that comes back sooner has
}  // namespace

Controller::Controller(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed)
    : settings_(settings),
      runtime_(runtime),
      log_(log),
      rng_(seed),
      store_(settings, runtime, log, rng_()),
      peers_(settings, runtime,
             {[this](std::uint32_t from, const mesh::Payload& p) { received(from, p); },
              [this] { return heartbeat(); }}),
      membership_(settings, runtime, log, store_, view_,
                  {[this](const LeaseValidity& s) {
                     for (auto& [_, x] : schedulers_) x->leaseValidity(s);
                   },
                   [this](const ShardTakeover& t) { takenOver(t); }, [this](ShardId k) { lost(k); },
                   [this](bool leads) { autoscaler_.leading(leads); },
                   [this](ShardId k, ControllerId to) {
                     if (auto* s = scheduler(k)) s->returnToPreferredOwner(to);
                   }}),
      autoscaler_(settings, runtime, log, store_, view_, rng_(),
                  {[this](const mesh::MachineDirective& w) {
                     toShard(ShardId{w.shard}, w, &ShardScheduler::handleDirective);
                   },
                   [this] { return owns(); }}),
      userApi_(settings, runtime, log, store_, view_, peers_,
               {[this](ShardId k) { return scheduler(k); }, [this] { return owns(); },
                [this](const wire::KeyChange& c) { changed(c); },
                [this](const JobId& id, JobStatus s) { view_.jobEnded(id, s); }}) {}

void Controller::start() {
  for (const auto& prefix : {keys::kJobs, keys::kMachines, keys::kShards, keys::kControllers})
    store_.watch(prefix, [this](const wire::KeyChange& c) { changed(c); });
  if (settings_.grace() == Duration{0})
    log_->error(
        "cancel_s leaves {} s after lease_s: no check-ins are answered without a hold, so that work ends "
        "where the state service is away for longer than lease_s",
        settings_.cancelS - settings_.leaseS);
  membership_.start();
  peers_.start();
  autoscaler_.start();
  summarizeLastMinute();
}

mesh::PeerHeartbeat Controller::heartbeat() const {
  mesh::PeerHeartbeat p;
  p.serving = serving();
  p.ownsForMs = std::max((membership_.leaseValidity().ownsUntil - runtime_.now()).count(), std::int64_t{0});
  for (const auto& [k, epoch] : membership_.owned())
    if (auto s = schedulers_.find(k); s != schedulers_.end() && s->second->knowsCancellations())
      p.owns.push_back({k.value, epoch.value, s->second->lastCancelled().value});
  return p;
}

// What the controller did in the last minute, for operators (OPERATING.md).
void Controller::summarizeLastMinute() {
  runtime_.after(kAccount, [this] { summarizeLastMinute(); });
  auto t = store_.takeTally();
  std::string line;
  for (const auto& [what, n] : t.requestsByOperation) line += " " + what + "=" + std::to_string(n);
  line += "; changes";
  for (const auto& [what, n] : t.writesByPrefix) line += " " + what + "=" + std::to_string(n);
  for (auto& [_, s] : schedulers_) log_->info("last minute: {}", s->summarizeLastMinute());
  log_->info("last minute: store requests{}; refused {}, out of time {}", line, t.throttled, t.expired);
}

ShardScheduler* Controller::scheduler(ShardId k) {
  auto it = schedulers_.find(k);
  return it == schedulers_.end() ? nullptr : it->second.get();
}

void Controller::changed(const wire::KeyChange& c) {
  auto machines = view_.apply(c, log_);
  auto under = [&](const std::string& prefix) { return c.key.compare(0, prefix.size(), prefix) == 0; };
  if (under(keys::kJobs)) {
    JobId id{c.key.substr(keys::kJobs.size())};
    for (auto& [_, s] : schedulers_) s->jobChanged(id);
  } else if (under(keys::kMachines)) {
    for (const auto& id : machines)
      for (auto& [_, s] : schedulers_) s->machineChanged(id);
  } else if (store_.cachesLoaded()) {
    membership_.changed();
    store_.setFractionOfLimits(fractionOfLimits());
  }
}

ShardCounters Controller::counts() const {
  ShardCounters sum;
  for (const auto& [_, s] : schedulers_) {
    sum.starts += s->counts().starts;
    sum.machinesExamined += s->counts().machinesExamined;
    sum.quarantined += s->counts().quarantined;
  }
  return sum;
}

// Most of what is asked of the store is asked for a shard, by its owner, and for machines, by the leader; the
// rest by every living controller.
double Controller::fractionOfLimits() const {
  constexpr double kEach = 0.5, kLeader = 0.75;
  double mine = 0, all = 0;
  for (const auto& n : settings_.controllers) {
    double weight = view_.alive(n) || n == settings_.controller ? kEach : 0;
    for (const auto& [_, o] : view_.shards) weight += o.record.owner == n;
    if (view_.leader && view_.leader->record.owner == n) weight += kLeader;
    all += weight;
    if (n == settings_.controller) mine = weight;
  }
  return mine / all;
}

void Controller::takenOver(const ShardTakeover& t) {
  ShardScheduler::Callbacks out{
      [this](const JobId& id, JobStatus s, Version version) { jobEnded(id, s, version); },
      [this](const mesh::ShardLoad& l) { sendLoad(l); },
      // A turn of its own: the actor asks for its own end.
      [this, k = t.shard] {
        runtime_.after(Duration{0}, [this, k] {
          membership_.dropOwnership(k);
          lost(k);
        });
      },
      [this](const std::string& address, std::function<void(const std::string&)> done) {
        probe(address, std::move(done));
      },
      [this, k = t.shard](Version version, const ControllerId& to, std::function<void(bool)> done) {
        membership_.transferOwnership(k, version, to, std::move(done));
      },
      [this] { return peers_.answeredElsewhere(); },
      [this, k = t.shard](const mesh::CapacityRequest& w) {
        peers_.sendAll(w);
        toOthersHere(k, w, &ShardScheduler::handleCapacityRequest);
      },
      [this](const mesh::CapacityOffer& o) {
        toShard(ShardId{o.toShard}, o, &ShardScheduler::handleCapacityOffer);
      },
      [this, k = t.shard](const mesh::TaskCapacityRequest& w) {
        peers_.sendAll(w);
        toOthersHere(k, w, &ShardScheduler::handleTaskCapacityRequest);
      },
      [this](const mesh::TaskCapacityOffer& o) {
        toShard(ShardId{o.toShard}, o, &ShardScheduler::handleTaskCapacityOffer);
      }};
  auto& s = schedulers_[t.shard];
  s = std::make_unique<ShardScheduler>(settings_, runtime_, log_, store_, view_, t,
                                       membership_.leaseValidity(), rng_(), out);
  s->start();
}

// What a machine says of itself just now.
void Controller::showOf(const std::string& address, HttpDone done) {
  try {
    runtime_.call(parseAddress(address), {"GET", "/show", "", false}, kShow, std::move(done));
  } catch (const SettingsError&) {
    done({});
  }
}

// Asks the siblings that we hear to ask the machine; the first to reach it answers.
void Controller::probe(const std::string& address, std::function<void(const std::string& body)> done) {
  for (const auto& s : settings_.siblings) {
    if (!peers_.hears(peers_.numberOf(s.controller))) continue;
    peers_.ask(s.controller, mesh::ProbeAsk{0, address}, kShow + Duration{500},
               [done](const mesh::Answer* a) {
                 if (a && a->status == 200) done(a->body);
               });
  }
}

void Controller::lost(ShardId k) { schedulers_.erase(k); }

void Controller::jobEnded(const JobId& id, JobStatus s, Version version) {
  view_.jobEnded(id, s, version);
  for (auto& [_, x] : schedulers_) x->jobChanged(id);
  // Whoever answers workers or users should know before the user does; no bound hangs on it.
  peers_.sendAll(mesh::JobEnded{id.value, s == JobStatus::Done, version.value});
}

void Controller::sendLoad(const mesh::ShardLoad& l) {
  if (!view_.leader) return;
  if (view_.leader->record.owner == settings_.controller)
    autoscaler_.load(l);
  else
    peers_.send(view_.leader->record.owner, l);
}

// To the scheduler of a shard, here or at the controller that owns it.
template <class Message>
void Controller::toShard(ShardId shard, const Message& message, Handler<Message> handler) {
  if (auto* s = scheduler(shard))
    (s->*handler)(message);
  else if (const ControllerId* owner = view_.ownerOf(shard))
    peers_.send(*owner, message);
}

// To the schedulers here of all shards but the one that asks; another shard's owner may be this controller.
template <class Message>
void Controller::toOthersHere(ShardId asking, const Message& message, Handler<Message> handler) {
  for (auto& [shard, s] : schedulers_)
    if (shard != asking) (s.get()->*handler)(message);
}

void Controller::received(std::uint32_t from, const mesh::Payload& p) {
  auto answer = [this, from](mesh::Answer a) { peers_.send(from, std::move(a)); };
  if (const auto* ask = std::get_if<mesh::JobAsk>(&p)) {
    userApi_.asked(*ask, answer);
  } else if (const auto* relayed = std::get_if<mesh::RelayedHeartbeat>(&p)) {
    auto heartbeat = wire::parseHeartbeat(relayed->body);
    auto machine = heartbeat ? view_.machines.find(heartbeat->machine) : view_.machines.end();
    ShardScheduler* s = machine == view_.machines.end() ? nullptr : scheduler(machine->second.record.shard);
    if (!s) return answer({relayed->id, 503, ""});
    auto a = s->handleHeartbeat(*heartbeat);
    answer({relayed->id, a.status, std::move(a.body)});
  } else if (const auto* probe = std::get_if<mesh::ProbeAsk>(&p)) {
    showOf(probe->address, [id = probe->id, answer](const HttpResult& r) {
      answer({id, r.response.status, r.response.body});
    });
  } else if (const auto* seen = std::get_if<mesh::UnrecordedMachineSeen>(&p)) {
    if (auto heartbeat = wire::parseHeartbeat(seen->body)) autoscaler_.unrecordedMachineSeen(*heartbeat);
  } else if (const auto* load = std::get_if<mesh::ShardLoad>(&p)) {
    autoscaler_.load(*load);
  } else if (const auto* over = std::get_if<mesh::JobEnded>(&p)) {
    JobId id{over->job};
    view_.jobEnded(id, over->done ? JobStatus::Done : JobStatus::Cancelled, Version{over->version});
    for (auto& [_, s] : schedulers_) s->jobChanged(id);
  } else if (const auto* w = std::get_if<mesh::MachineDirective>(&p)) {
    if (auto* s = scheduler(ShardId{w->shard})) s->handleDirective(*w);
  } else if (const auto* wanted = std::get_if<mesh::CapacityRequest>(&p)) {
    toOthersHere(ShardId{wanted->shard}, *wanted, &ShardScheduler::handleCapacityRequest);
  } else if (const auto* offer = std::get_if<mesh::CapacityOffer>(&p)) {
    if (auto* s = scheduler(ShardId{offer->toShard})) s->handleCapacityOffer(*offer);
  } else if (const auto* partial = std::get_if<mesh::TaskCapacityRequest>(&p)) {
    toOthersHere(ShardId{partial->shard}, *partial, &ShardScheduler::handleTaskCapacityRequest);
  } else if (const auto* some = std::get_if<mesh::TaskCapacityOffer>(&p)) {
    if (auto* s = scheduler(ShardId{some->toShard})) s->handleTaskCapacityOffer(*some);
  }
}

// --- requests ---

bool Controller::serving() const { return store_.cachesLoaded() && !view_.catalog.empty(); }

void Controller::up(Responder done) {
  // Out of service only if the store is lost to us alone: were it lost to all, taking all out would help
  // nobody. One that hears no sibling either can't know, and can't take requests whichever it is.
  bool cutOff = !settings_.siblings.empty() && !peers_.hearsAny();
  bool alone = !owns() && (cutOff || peers_.someoneHasStore());
  bool ok = serving() && !alone;
  done({ok ? 200 : 503, ok ? "{}" : R"({"error":"not serving"})", false, 0});
}

void Controller::request(HttpRequest r, Responder done) {
  auto only = [&](const char* method) {
    if (r.method == method) return true;
    done(wire::userError(405, "method not allowed"));
    return false;
  };
  auto path = r.target.substr(0, r.target.find('?'));
  if (path == "/up") {
    if (only("GET")) up(std::move(done));
  } else if (path == "/checkin") {
    if (only("POST")) handleHeartbeat(r.body, std::move(done));
  } else if (path == "/v1/jobs") {
    if (!only("POST")) return;
    if (!store_.cachesLoaded()) return done(wire::userUnavailable("starting"));
    userApi_.submit(r.body, std::move(done));
  } else if (path.compare(0, 9, "/v1/jobs/") == 0) {
    jobs(r, std::move(done));
  } else {
    done(wire::userError(404, "no such path"));
  }
}

void Controller::jobs(const HttpRequest& r, Responder done) {
  static const std::string kCancelPath = "/withdraw";
  auto id = r.target.substr(9, r.target.find('?') - 9);
  bool cancel = id.size() > kCancelPath.size() && id.ends_with(kCancelPath);
  if (cancel) id.resize(id.size() - kCancelPath.size());
  if (r.method != (cancel ? "POST" : "GET")) return done(wire::userError(405, "method not allowed"));
  if (!wire::isJobId(id)) return done(wire::userError(404, "no such job"));
  if (!store_.cachesLoaded()) return done(wire::userUnavailable("starting"));
  if (cancel)
    userApi_.cancel(JobId{id}, std::move(done));
  else
    userApi_.poll(JobId{id}, std::move(done));
}

void Controller::handleHeartbeat(const std::string& body, Responder done) {
  auto unavailable = [&](const char* why) { done(wire::userError(503, why)); };
  auto heartbeat = wire::parseHeartbeat(body);
  if (!heartbeat) return done(wire::userError(400, "malformed report"));
  auto machine = view_.machines.find(heartbeat->machine);
  if (machine == view_.machines.end()) {
    if (view_.leader && view_.leader->record.owner == settings_.controller)
      autoscaler_.unrecordedMachineSeen(*heartbeat);
    else if (view_.leader)
      peers_.send(view_.leader->record.owner, mesh::UnrecordedMachineSeen{body});
    return unavailable("unknown machine");
  }
  auto shard = machine->second.record.shard;
  if (auto* s = scheduler(shard)) {
    auto a = s->handleHeartbeat(*heartbeat);
    return done({a.status, std::move(a.body), false, 0});
  }
  const ControllerId* owner = view_.ownerOf(shard);
  if (!owner || *owner == settings_.controller || !view_.alive(*owner))
    return unavailable("share is being taken over");
  auto now = runtime_.now();
  // Its lease and its commands come first: the heartbeat is relayed at once. Only a worker that stays is sent
  // on to its owner, and one that comes back from there is relayed for long.
  auto& foreignWorker = foreignWorkers_[heartbeat->machine];
  if (foreignWorker.owner != *owner || now - foreignWorker.last > 2 * kRelayFirst) {
    bool returned = foreignWorker.owner == *owner && now - foreignWorker.steered < kSteerAgain;
    foreignWorker = {*owner, now, now, returned ? foreignWorker.steered : Time{}};
  }
  foreignWorker.last = now;
  auto n = peers_.numberOf(*owner);
  bool reached = peers_.reaches(n);
  // One that has been here since before we lost sight of its owner may well find it by itself.
  bool steer = (reached ? now - foreignWorker.since > kRelayFirst && peers_.hears(n)
                        : foreignWorker.since <= peers_.heardAt(n)) &&
               (foreignWorker.steered == Time{} || now - foreignWorker.steered > kSteerAgain);
  if (steer) {
    foreignWorker.steered = now;
    return done({421, wire::encodeOwner(*owner), true, 0});
  }
  if (!reached) return done(answerFor(*owner, *heartbeat));
  peers_.ask(*owner, mesh::RelayedHeartbeat{0, body}, kRelay,
             [this, owner = *owner, heartbeat = std::move(*heartbeat),
              done = std::move(done)](const mesh::Answer* a) {
               if (a && a->status == 200) return done({200, a->body, false, 0});
               done(answerFor(owner, heartbeat));
             });
}

// The worker's token must be that owner's own: whoever came after it has not asked us to stand in.
bool Controller::mayAnswerFor(const ControllerId& owner, const wire::WorkerHeartbeat& r) const {
  auto machine = view_.machines.find(r.machine);
  if (machine == view_.machines.end() || !membership_.leaseValidity().answers(runtime_.now())) return false;
  auto shard = view_.shards.find(machine->second.record.shard);
  if (shard == view_.shards.end() || shard->second.record.owner != owner) return false;
  auto epoch = shard->second.record.epoch;
  return epochOf(r.token) == std::max(machine->second.record.token, epoch) &&
         peers_.mayAnswerFor(peers_.numberOf(owner), shard->first, epoch, store_.revisionOf(keys::kJobs));
}

// The owner of the worker's shard is out of reach. Cut off together with the worker we keep its lease up for
// a while (invariant 15): what it runs goes on. It gets no commands but to end what is cancelled, which is
// final.
HttpResponse Controller::answerFor(const ControllerId& owner, const wire::WorkerHeartbeat& r) {
  if (!mayAnswerFor(owner, r)) return wire::userError(503, "the owner does not answer");
  peers_.answeredFor(peers_.numberOf(owner));
  return {200, wire::encodeHeartbeatAnswer(r.token, view_.stopCommandsForCancelled(r)), false, 0};
}

}  // namespace cherryloft
