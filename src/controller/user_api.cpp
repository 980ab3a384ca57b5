#include "controller/user_api.h"

#include <algorithm>
#include <memory>

#include "policy/admission.h"

namespace cherryloft {
namespace {

constexpr Duration kCreateTimeout{2'500};
constexpr Duration kStrongReadTimeout{1'000};  // users wait 2 s for a poll
constexpr Duration kOwnerRequestTimeout{600};  // leaves time for a strong read after it
constexpr Duration kCancelTimeout{2'500};
constexpr Duration kRelayMargin{300};  // lets the owner's own timeout expire first
constexpr int kMaxRetryAfterSeconds = 20;

const char* const kNoStateService = "no connection to the state service";
const char* const kStateServiceUnresponsive = "the state service does not answer";
const char* const kRecordUnreadable = "the job's record is unreadable";
const char* const kShardBeingTakenOver = "the job's share is being taken over";

bool isFinished(const JobEntry& job) { return job.status != JobStatus::Open; }

JobState finalState(const JobId& id, const JobEntry& job) {
  auto done = job.status == JobStatus::Done ? job.tasks : 0;
  return {id, {job.status, job.tasks, done, 0}};
}

// Responds once, with whichever comes first: the result or the timeout. Copies share the responder.
class OnceResponder {
 public:
  explicit OnceResponder(UserResponder done) : done_(std::make_shared<UserResponder>(std::move(done))) {}
  void respond(const UserResponse& response) const {
    if (!*done_) return;
    auto done = std::exchange(*done_, nullptr);
    done(response);
  }

 private:
  std::shared_ptr<UserResponder> done_;  // empty after the response
};

}  // namespace

UserApi::UserApi(const Settings& settings, Runtime& runtime, KeyValueStore& store, const ClusterView& view,
                 Peers& peers, Callbacks callbacks)
    : settings_(settings),
      runtime_(runtime),
      store_(store),
      view_(view),
      peers_(peers),
      callbacks_(std::move(callbacks)) {}

const JobEntry* UserApi::findJob(const JobId& id) const {
  auto entry = view_.jobs.find(id);
  return entry == view_.jobs.end() ? nullptr : &entry->second;
}

// --- submissions ---

void UserApi::submit(const std::string& body, UserResponder done) {
  auto parsed = wire::parseSubmission(body);
  if (const auto* malformed = std::get_if<wire::Malformed>(&parsed)) {
    JobRejected rejected{Rejection::Malformed, malformed->why};
    if (malformed->id) return reject(*malformed->id, std::move(rejected), std::move(done));
    return done(std::move(rejected));
  }
  auto& spec = std::get<JobSpec>(parsed);
  // For a job accepted earlier the response is its state, even if the repeated submission differs.
  if (findJob(spec.id)) return poll(spec.id, std::move(done));
  // Submissions that can't be accepted now are answered immediately.
  if (!callbacks_.holdsLease()) return done(Unavailable{kNoStateService});
  if (view_.catalog.empty()) return done(Unavailable{"the machine types are not known yet"});
  if (auto reason = policy::infeasibilityReason(spec, settings_, view_.catalog))
    return reject(spec.id, {Rejection::Infeasible, *reason}, std::move(done));
  if (auto wait = store_.creationBacklogDelay())
    return done(Overloaded{std::min(static_cast<int>(wait->count()), kMaxRetryAfterSeconds)});
  create(std::move(spec), std::move(done));
}

// Rejects a job only after the store confirmed that it was never accepted.
void UserApi::reject(const JobId& id, JobRejected rejected, UserResponder done) {
  if (findJob(id)) return poll(id, std::move(done));
  strongRead(id, [rejected = std::move(rejected), done = std::move(done)](const UserResponse& read) {
    if (std::holds_alternative<JobNotFound>(read)) return done(rejected);
    done(read);
  });
}

void UserApi::create(JobSpec spec, UserResponder done) {
  auto id = spec.id;
  wire::JobRecord record{JobStatus::Open, settings_.shardOfTeam(spec.team), spec.tasks, runtime_.wall(), {}};
  record.spec = std::move(spec);
  auto value = wire::encodeJobRecord(record);
  // The job may have been accepted earlier, under a larger limit.
  if (value.size() > settings_.maxValueBytes)
    return reject(id, {Rejection::Malformed, "the job's description is too long"}, std::move(done));
  store_.create({keys::job(id), std::move(value), {}}, kCreateTimeout,
                [this, id, done = std::move(done)](const TransactionResult& result) {
                  handleCreateResult(id, result, done);
                });
}

void UserApi::handleCreateResult(const JobId& id, const TransactionResult& result,
                                 const UserResponder& done) {
  switch (result.outcome) {
    case TransactionResult::Outcome::Committed:
      return done(JobAccepted{id});
    case TransactionResult::Outcome::Conflict:
      return strongRead(id, done);
    default:
      // The outcome is unknown; a retry with the same id resolves it.
      return done(Unavailable{kStateServiceUnresponsive});
  }
}

// --- polls ---

void UserApi::poll(const JobId& id, UserResponder done) {
  const JobEntry* job = findJob(id);
  if (!job) return strongRead(id, std::move(done));
  if (isFinished(*job)) return done(finalState(id, *job));
  if (ShardScheduler* scheduler = callbacks_.scheduler(job->shard)) {
    if (auto view = scheduler->poll(id)) return done(JobState{id, *view});
    return strongRead(id, std::move(done));
  }
  const ControllerId* owner = view_.ownerOf(job->shard);
  // Don't wait for an owner that can't be reached.
  if (!owner || *owner == settings_.controller || !peers_.canReach(*owner))
    return strongRead(id, std::move(done));
  peers_.sendRequest(*owner, mesh::JobRequest{0, false, id.value}, kOwnerRequestTimeout,
                     [this, id, done = std::move(done)](const mesh::Answer* answer) {
                       if (answer && answer->status > 0) return done(applyOwnerAnswer(id, *answer));
                       strongRead(id, done);
                     });
}

// The owner's answer may predate an end of the job that we have reported or learned of since; the end takes
// precedence. An end in the answer is applied to our view before the user is told: the owner may have seen it
// in its watch cache before its own commit was acknowledged, and so before it notified its peers.
UserResponse UserApi::applyOwnerAnswer(const JobId& id, const mesh::Answer& answer) {
  const JobEntry* job = findJob(id);
  if (job && isFinished(*job)) return finalState(id, *job);
  if (auto end = answer.status == 200 ? wire::parseFinalStatus(answer.body) : std::nullopt)
    callbacks_.jobEnded(id, *end);
  return OwnerResponse{answer.status, answer.body};
}

void UserApi::strongRead(const JobId& id, UserResponder done) {
  if (!callbacks_.holdsLease()) return done(Unavailable{kNoStateService});
  store_.get(
      RequestPriority::User, keys::job(id), kStrongReadTimeout,
      [this, id, done = std::move(done)](const GetResult& result) { done(strongReadResponse(id, result)); });
}

UserResponse UserApi::strongReadResponse(const JobId& id, const GetResult& result) {
  switch (result.outcome) {
    case GetResult::Outcome::Absent:
      return JobNotFound{};
    case GetResult::Outcome::Failed:
      return Unavailable{kStateServiceUnresponsive};
    case GetResult::Outcome::Found:
      break;
  }
  callbacks_.recordObserved(result.entry);
  const JobEntry* job = findJob(id);
  if (!job) return Unavailable{kRecordUnreadable};
  if (isFinished(*job)) return finalState(id, *job);
  return JobState{id, {JobStatus::Open, job->tasks, 0, 0}};
}

// --- cancellations ---

void UserApi::cancel(const JobId& id, UserResponder done) {
  if (const JobEntry* job = findJob(id)) return cancelKnown(id, job->shard, std::move(done));
  strongRead(id, [this, id, done = std::move(done)](const UserResponse& read) {
    const JobEntry* job = findJob(id);
    if (!std::holds_alternative<JobState>(read) || !job) return done(read);
    cancelKnown(id, job->shard, done);
  });
}

// Precondition: the view contains the job.
void UserApi::cancelKnown(const JobId& id, ShardId shard, UserResponder done) {
  const JobEntry* job = findJob(id);
  if (isFinished(*job)) return done(finalState(id, *job));
  if (ShardScheduler* scheduler = callbacks_.scheduler(shard))
    return cancelLocally(id, *scheduler, std::move(done));
  cancelAtOwner(id, shard, std::move(done));
}

void UserApi::cancelLocally(const JobId& id, ShardScheduler& scheduler, UserResponder done) {
  OnceResponder responder(done);
  bool accepted = scheduler.cancel(id, [this, id, responder](JobStatus) {
    const JobEntry* job = findJob(id);
    if (job && isFinished(*job))
      responder.respond(finalState(id, *job));
    else
      responder.respond(Unavailable{kRecordUnreadable});
  });
  if (!accepted) return done(Unavailable{kShardBeingTakenOver});
  runtime_.after(kCancelTimeout, [responder] { responder.respond(Unavailable{kStateServiceUnresponsive}); });
}

void UserApi::cancelAtOwner(const JobId& id, ShardId shard, UserResponder done) {
  const ControllerId* owner = view_.ownerOf(shard);
  if (!owner || *owner == settings_.controller || !view_.alive(*owner))
    return done(Unavailable{kShardBeingTakenOver});
  if (!peers_.canReach(*owner)) return done(Unavailable{"the owner of the job's share is out of reach"});
  peers_.sendRequest(*owner, mesh::JobRequest{0, true, id.value}, kCancelTimeout + kRelayMargin,
                     [this, id, done = std::move(done)](const mesh::Answer* answer) {
                       if (answer && answer->status > 0) return done(applyOwnerAnswer(id, *answer));
                       done(Unavailable{"the owner of the job's share does not answer"});
                     });
}

// --- peers ---

void UserApi::handlePeerRequest(const mesh::JobRequest& request, UserResponder done) {
  JobId id{request.job};
  const JobEntry* job = findJob(id);
  if (job && isFinished(*job)) return done(finalState(id, *job));
  ShardScheduler* scheduler = job ? callbacks_.scheduler(job->shard) : nullptr;
  if (!scheduler) return done(NotOwner{});
  if (request.cancel) return cancelKnown(id, job->shard, std::move(done));
  if (auto view = scheduler->poll(id)) return done(JobState{id, *view});
  done(NotOwner{});
}

}  // namespace cherryloft
