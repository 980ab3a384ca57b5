#include "controller/user_api.h"

#include <algorithm>

#include "policy/admission.h"
#include "wire/users.h"

namespace cherryloft {
namespace {
constexpr Duration kCreate{2'500};
constexpr int kMostRetryAfterS = 20;
constexpr Duration kStrongRead{1'000};  // users wait 2 s for a poll
constexpr Duration kAskOwner{600};
constexpr Duration kCancelTimeout{2'500};
}  // namespace

UserApi::UserApi(const Settings& settings, Runtime& runtime, Log log, KeyValueStore& store,
                 const ClusterView& view, Peers& peers, Callbacks out)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      store_(store),
      view_(view),
      peers_(peers),
      callbacks_(std::move(out)) {}

const JobEntry* UserApi::known(const JobId& id) const {
  auto it = view_.jobs.find(id);
  return it == view_.jobs.end() ? nullptr : &it->second;
}

HttpResponse UserApi::ended(const JobId& id, const JobEntry& job) const {
  auto done = job.status == JobStatus::Done ? job.tasks : 0;
  return {200, wire::encodeJob(id, {job.status, job.tasks, done, 0}), false, 0};
}

// --- submissions ---

void UserApi::submit(const std::string& body, Responder done) {
  auto parsed = wire::parseSubmission(body);
  if (const auto* bad = std::get_if<wire::Malformed>(&parsed)) {
    if (bad->id) return refuse(*bad->id, 400, bad->why, std::move(done));
    return done(wire::userError(400, bad->why));
  }
  auto& spec = std::get<JobSpec>(parsed);
  // A job accepted before is answered with its state, whatever its retry looks like.
  if (known(spec.id)) return poll(spec.id, std::move(done));
  // What can't be taken is answered at once.
  if (!callbacks_.hasStore()) return done(wire::userUnavailable("no connection to the state service"));
  if (view_.catalog.empty()) return done(wire::userUnavailable("the machine types are not known yet"));
  if (auto why = policy::neverRuns(spec, settings_, view_.catalog))
    return refuse(spec.id, 422, *why, std::move(done));
  if (auto wait = store_.creationBacklogDelay())
    return done(wire::userError(503, "more jobs come than can be kept",
                                std::min(static_cast<int>(wait->count()), kMostRetryAfterS)));
  accept(std::move(spec), std::move(done));
}

// A refusal is given only once the store says that the job was never accepted.
void UserApi::refuse(const JobId& id, int status, const std::string& why, Responder done) {
  if (known(id)) return poll(id, std::move(done));
  strongRead(id, [status, why, done = std::move(done)](HttpResponse r) {
    done(r.status == 404 ? wire::userError(status, why) : std::move(r));
  });
}

void UserApi::accept(JobSpec spec, Responder done) {
  auto id = spec.id;
  wire::JobRecord record{JobStatus::Open, settings_.shardOfTeam(spec.team), spec.tasks, runtime_.wall(), {}};
  record.spec = std::move(spec);
  auto value = wire::encodeJobRecord(record);
  // It may have been accepted under a former, larger limit.
  if (value.size() > settings_.valueBytes)
    return refuse(id, 400, "the job's description is too long", std::move(done));
  store_.create({keys::job(id), value, {}}, kCreate,
                [this, id, value, done = std::move(done)](TransactionResult r) {
                  switch (r.outcome) {
                    case TransactionResult::Outcome::Committed:
                      callbacks_.learnt({keys::job(id), value, r.revision});
                      return done({201, wire::encodeJob(id, {}), false, 0});
                    case TransactionResult::Outcome::Conflict:
                      return strongRead(id, done);
                    default:
                      // Whether it was taken or not, the retry with the same id finds out.
                      return done(wire::userUnavailable("the state service does not answer"));
                  }
                });
}

// --- questions ---

// The owner's answer may have been given before an end that we have told, or heard of, since. An end that it
// tells is taken in before the user hears it: the owner may have seen it in its watch cache, before the
// answer to its own commit, and so before it told its siblings.
HttpResponse UserApi::relayed(const JobId& id, const mesh::Answer& a) {
  if (const JobEntry* job = known(id); job && job->status != JobStatus::Open) return ended(id, *job);
  if (auto end = a.status == 200 ? wire::parseEnd(a.body) : std::nullopt) callbacks_.ended(id, *end);
  return {a.status, a.body, false, a.status == 503 ? 1 : 0};
}

void UserApi::poll(const JobId& id, Responder done) {
  const JobEntry* job = known(id);
  if (!job) return strongRead(id, std::move(done));
  if (job->status != JobStatus::Open) return done(ended(id, *job));
  if (ShardScheduler* s = callbacks_.scheduler(job->shard)) {
    if (auto view = s->poll(id)) return done({200, wire::encodeJob(id, *view), false, 0});
    return strongRead(id, std::move(done));
  }
  const ControllerId* owner = view_.ownerOf(job->shard);
  // Whoever can't be asked is not waited for.
  if (!owner || *owner == settings_.controller || !peers_.reaches(*owner))
    return strongRead(id, std::move(done));
  peers_.ask(*owner, mesh::JobAsk{0, false, id.value}, kAskOwner,
             [this, id, done = std::move(done)](const mesh::Answer* a) {
               if (a && a->status > 0) return done(relayed(id, *a));
               strongRead(id, done);
             });
}

void UserApi::strongRead(const JobId& id, Responder done) {
  if (!callbacks_.hasStore()) return done(wire::userUnavailable("no connection to the state service"));
  store_.get(RequestPriority::User, keys::job(id), kStrongRead,
             [this, id, done = std::move(done)](GetResult r) {
               switch (r.outcome) {
                 case GetResult::Outcome::Absent:
                   return done(wire::userError(404, "no such job"));
                 case GetResult::Outcome::Failed:
                   return done(wire::userUnavailable("the state service does not answer"));
                 case GetResult::Outcome::Found:
                   break;
               }
               callbacks_.learnt(r.entry);
               const JobEntry* job = known(id);
               if (!job) return done(wire::userUnavailable("the job's record is unreadable"));
               if (job->status != JobStatus::Open) return done(ended(id, *job));
               done({200, wire::encodeJob(id, {JobStatus::Open, job->tasks, 0, 0}), false, 0});
             });
}

void UserApi::cancel(const JobId& id, Responder done) {
  if (const JobEntry* job = known(id)) return cancelKnown(id, job->shard, std::move(done));
  strongRead(id, [this, id, done = std::move(done)](HttpResponse r) {
    const JobEntry* job = known(id);
    if (r.status != 200 || !job) return done(std::move(r));
    cancelKnown(id, job->shard, done);
  });
}

void UserApi::cancelKnown(const JobId& id, ShardId shard, Responder done) {
  const JobEntry* job = known(id);
  if (job->status != JobStatus::Open) return done(ended(id, *job));
  if (ShardScheduler* s = callbacks_.scheduler(shard)) {
    auto answered = std::make_shared<bool>(false);
    auto once = [answered, done](HttpResponse r) {
      if (!std::exchange(*answered, true)) done(std::move(r));
    };
    bool taken = s->cancel(id, [this, id, once](JobStatus) {
      const JobEntry* j = known(id);
      if (j && j->status != JobStatus::Open)
        once(ended(id, *j));
      else
        once(wire::userUnavailable("the job's record is unreadable"));
    });
    if (!taken) return done(wire::userUnavailable("the job's share is being taken over"));
    runtime_.after(kCancelTimeout,
                   [once] { once(wire::userUnavailable("the state service does not answer")); });
    return;
  }
  const ControllerId* owner = view_.ownerOf(shard);
  if (!owner || *owner == settings_.controller || !view_.alive(*owner))
    return done(wire::userUnavailable("the job's share is being taken over"));
  if (!peers_.reaches(*owner))
    return done(wire::userUnavailable("the owner of the job's share is out of reach"));
  peers_.ask(*owner, mesh::JobAsk{0, true, id.value}, kCancelTimeout + Duration{300},
             [this, id, done = std::move(done)](const mesh::Answer* a) {
               if (a && a->status > 0) return done(relayed(id, *a));
               done(wire::userUnavailable("the owner of the job's share does not answer"));
             });
}

void UserApi::asked(const mesh::JobAsk& ask, std::function<void(mesh::Answer)> done) {
  JobId id{ask.job};
  auto reply = [id = ask.id, done = std::move(done)](HttpResponse r) {
    done({id, r.status, std::move(r.body)});
  };
  const JobEntry* job = known(id);
  if (job && job->status != JobStatus::Open) return reply(ended(id, *job));
  ShardScheduler* s = job ? callbacks_.scheduler(job->shard) : nullptr;
  if (!s) return reply({});
  if (ask.cancel) return cancelKnown(id, job->shard, reply);
  auto view = s->poll(id);
  reply(view ? HttpResponse{200, wire::encodeJob(id, *view), false, 0} : HttpResponse{});
}

}  // namespace cherryloft
