#include "controller/user_api.h"

#include <algorithm>
#include <memory>

#include "policy/admission.h"

namespace cherryloft {
namespace {

constexpr Duration kCreateTimeout{2'500};
constexpr Duration kStrongReadTimeout{1'000};  // users wait 2 s for a poll
constexpr Duration kAskOwnerTimeout{600};      // leaves time for a strong read after it
constexpr Duration kCancelTimeout{2'500};
constexpr Duration kRelayMargin{300};  // the owner's own timeout comes first
constexpr int kMaxRetryAfterSeconds = 20;

const char* const kNoStateService = "no connection to the state service";
const char* const kStateServiceSilent = "the state service does not answer";
const char* const kRecordUnreadable = "the job's record is unreadable";
const char* const kShardBeingTakenOver = "the job's share is being taken over";

bool isOver(const JobEntry& job) { return job.status != JobStatus::Open; }

JobState finalState(const JobId& id, const JobEntry& job) {
  auto done = job.status == JobStatus::Done ? job.tasks : 0;
  return {id, {job.status, job.tasks, done, 0}};
}

// Answers once, whoever comes first: the result or the timeout. Copies share that one answer.
class FirstAnswer {
 public:
  explicit FirstAnswer(UserResponder done) : done_(std::make_shared<UserResponder>(std::move(done))) {}
  void answer(const UserAnswer& answer) const {
    if (!*done_) return;
    auto done = std::exchange(*done_, nullptr);
    done(answer);
  }

 private:
  std::shared_ptr<UserResponder> done_;  // empty once answered
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

const JobEntry* UserApi::find(const JobId& id) const {
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
  // A job accepted before is answered with its state, whatever its retry looks like.
  if (find(spec.id)) return poll(spec.id, std::move(done));
  // What can't be taken is answered at once.
  if (!callbacks_.holdsLease()) return done(Unavailable{kNoStateService});
  if (view_.catalog.empty()) return done(Unavailable{"the machine types are not known yet"});
  if (auto why = policy::neverRuns(spec, settings_, view_.catalog))
    return reject(spec.id, {Rejection::NeverRuns, *why}, std::move(done));
  if (auto wait = store_.creationBacklogDelay())
    return done(Overloaded{std::min(static_cast<int>(wait->count()), kMaxRetryAfterSeconds)});
  create(std::move(spec), std::move(done));
}

// A rejection is given only once the store says that the job was never accepted.
void UserApi::reject(const JobId& id, JobRejected rejected, UserResponder done) {
  if (find(id)) return poll(id, std::move(done));
  strongRead(id, [rejected = std::move(rejected), done = std::move(done)](const UserAnswer& read) {
    if (std::holds_alternative<NoSuchJob>(read)) return done(rejected);
    done(read);
  });
}

void UserApi::create(JobSpec spec, UserResponder done) {
  auto id = spec.id;
  wire::JobRecord record{JobStatus::Open, settings_.shardOfTeam(spec.team), spec.tasks, runtime_.wall(), {}};
  record.spec = std::move(spec);
  auto value = wire::encodeJobRecord(record);
  // It may have been accepted under a former, larger limit.
  if (value.size() > settings_.maxValueBytes)
    return reject(id, {Rejection::Malformed, "the job's description is too long"}, std::move(done));
  store_.create({keys::job(id), value, {}}, kCreateTimeout,
                [this, id, value, done = std::move(done)](const TransactionResult& result) {
                  handleCreateResult({keys::job(id), value, result.revision}, id, result, done);
                });
}

void UserApi::handleCreateResult(const wire::KeyChange& created, const JobId& id,
                                 const TransactionResult& result, const UserResponder& done) {
  switch (result.outcome) {
    case TransactionResult::Outcome::Committed:
      callbacks_.recordSeen(created);
      return done(JobAccepted{id});
    case TransactionResult::Outcome::Conflict:
      return strongRead(id, done);
    default:
      // Whether it was taken or not, the retry with the same id finds out.
      return done(Unavailable{kStateServiceSilent});
  }
}

// --- polls ---

void UserApi::poll(const JobId& id, UserResponder done) {
  const JobEntry* job = find(id);
  if (!job) return strongRead(id, std::move(done));
  if (isOver(*job)) return done(finalState(id, *job));
  if (ShardScheduler* scheduler = callbacks_.scheduler(job->shard)) {
    if (auto view = scheduler->poll(id)) return done(JobState{id, *view});
    return strongRead(id, std::move(done));
  }
  const ControllerId* owner = view_.ownerOf(job->shard);
  // An owner that can't be asked is not waited for.
  if (!owner || *owner == settings_.controller || !peers_.reaches(*owner))
    return strongRead(id, std::move(done));
  peers_.ask(*owner, mesh::JobRequest{0, false, id.value}, kAskOwnerTimeout,
             [this, id, done = std::move(done)](const mesh::Answer* answer) {
               if (answer && answer->status > 0) return done(relayedAnswer(id, *answer));
               strongRead(id, done);
             });
}

// The owner's answer may have been given before an end that we have told, or heard of, since. An end that it
// tells is taken in before the user hears it: the owner may have seen it in its watch cache, before the
// answer to its own commit, and so before it told its peers.
UserAnswer UserApi::relayedAnswer(const JobId& id, const mesh::Answer& answer) {
  const JobEntry* job = find(id);
  if (job && isOver(*job)) return finalState(id, *job);
  if (auto end = answer.status == 200 ? wire::parseFinalStatus(answer.body) : std::nullopt)
    callbacks_.jobEnded(id, *end);
  return OwnersAnswer{answer.status, answer.body};
}

void UserApi::strongRead(const JobId& id, UserResponder done) {
  if (!callbacks_.holdsLease()) return done(Unavailable{kNoStateService});
  store_.get(
      RequestPriority::User, keys::job(id), kStrongReadTimeout,
      [this, id, done = std::move(done)](const GetResult& result) { done(answerOfStrongRead(id, result)); });
}

UserAnswer UserApi::answerOfStrongRead(const JobId& id, const GetResult& result) {
  switch (result.outcome) {
    case GetResult::Outcome::Absent:
      return NoSuchJob{};
    case GetResult::Outcome::Failed:
      return Unavailable{kStateServiceSilent};
    case GetResult::Outcome::Found:
      break;
  }
  callbacks_.recordSeen(result.entry);
  const JobEntry* job = find(id);
  if (!job) return Unavailable{kRecordUnreadable};
  if (isOver(*job)) return finalState(id, *job);
  return JobState{id, {JobStatus::Open, job->tasks, 0, 0}};
}

// --- cancellations ---

void UserApi::cancel(const JobId& id, UserResponder done) {
  if (const JobEntry* job = find(id)) return cancelKnown(id, job->shard, std::move(done));
  strongRead(id, [this, id, done = std::move(done)](const UserAnswer& read) {
    const JobEntry* job = find(id);
    if (!std::holds_alternative<JobState>(read) || !job) return done(read);
    cancelKnown(id, job->shard, done);
  });
}

// The view must show the job.
void UserApi::cancelKnown(const JobId& id, ShardId shard, UserResponder done) {
  const JobEntry* job = find(id);
  if (isOver(*job)) return done(finalState(id, *job));
  if (ShardScheduler* scheduler = callbacks_.scheduler(shard))
    return cancelHere(id, *scheduler, std::move(done));
  cancelAtOwner(id, shard, std::move(done));
}

void UserApi::cancelHere(const JobId& id, ShardScheduler& scheduler, UserResponder done) {
  FirstAnswer first(done);
  bool taken = scheduler.cancel(id, [this, id, first](JobStatus) {
    const JobEntry* job = find(id);
    if (job && isOver(*job))
      first.answer(finalState(id, *job));
    else
      first.answer(Unavailable{kRecordUnreadable});
  });
  if (!taken) return done(Unavailable{kShardBeingTakenOver});
  runtime_.after(kCancelTimeout, [first] { first.answer(Unavailable{kStateServiceSilent}); });
}

void UserApi::cancelAtOwner(const JobId& id, ShardId shard, UserResponder done) {
  const ControllerId* owner = view_.ownerOf(shard);
  if (!owner || *owner == settings_.controller || !view_.alive(*owner))
    return done(Unavailable{kShardBeingTakenOver});
  if (!peers_.reaches(*owner)) return done(Unavailable{"the owner of the job's share is out of reach"});
  peers_.ask(*owner, mesh::JobRequest{0, true, id.value}, kCancelTimeout + kRelayMargin,
             [this, id, done = std::move(done)](const mesh::Answer* answer) {
               if (answer && answer->status > 0) return done(relayedAnswer(id, *answer));
               done(Unavailable{"the owner of the job's share does not answer"});
             });
}

// --- peers ---

void UserApi::answerPeer(const mesh::JobRequest& request, UserResponder done) {
  JobId id{request.job};
  const JobEntry* job = find(id);
  if (job && isOver(*job)) return done(finalState(id, *job));
  ShardScheduler* scheduler = job ? callbacks_.scheduler(job->shard) : nullptr;
  if (!scheduler) return done(NotTheOwner{});
  if (request.cancel) return cancelKnown(id, job->shard, std::move(done));
  if (auto view = scheduler->poll(id)) return done(JobState{id, *view});
  done(NotTheOwner{});
}

}  // namespace cherryloft
