#include "scheduler/shard_recovery.h"

#include <charconv>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kRetryDelay{150};

// Parses "run/<shard>/<page>"; nothing if the key has a different layout.
std::optional<PageNumber> parsePageKey(const std::string& key, const std::string& prefix) {
  PageNumber number = 0;
  const char* end = key.data() + key.size();
  auto [parsedTo, error] = std::from_chars(key.data() + prefix.size(), end, number);
  if (error != std::errc{} || parsedTo != end) return std::nullopt;
  return number;
}
}  // namespace

ShardRecovery::ShardRecovery(Runtime& runtime, Log log, KeyValueStore& store, const ClusterView& view,
                             ShardTakeover takeover, ShardState& state)
    : runtime_(runtime),
      log_(std::move(log)),
      store_(store),
      view_(view),
      takeover_(takeover),
      state_(state) {}

// --- reading ---

void ShardRecovery::start(std::function<void(const ListResult& pages)> done) {
  startedAt_ = runtime_.now();
  done_ = std::move(done);
  // A completed step stays valid, so each step is retried on its own.
  waitForView(keys::kJobs, [this] { waitForView(keys::kMachines, [this] { readPages(); }); });
}

void ShardRecovery::waitForView(const std::string& prefix, std::function<void()> next) {
  auto retry = whileAlive([this, prefix, next] { waitForView(prefix, next); });
  store_.waitUntilCurrent(prefix,
                          [this, alive = std::weak_ptr<bool>(alive_), next, retry](CatchUpResult result) {
                            if (!alive.lock()) return;
                            if (result == CatchUpResult::Current)
                              next();
                            else
                              runtime_.after(kRetryDelay, retry);
                          });
}

void ShardRecovery::readPages() {
  store_.list(RequestPriority::Control, keys::placementPages(takeover_.shard),
              [this, alive = std::weak_ptr<bool>(alive_)](const ListResult& pages) {
                if (!alive.lock()) return;
                if (pages.complete())
                  done_(pages);
                else
                  runtime_.after(kRetryDelay, whileAlive([this] { readPages(); }));
              });
}

std::function<void()> ShardRecovery::whileAlive(std::function<void()> step) const {
  return [step = std::move(step), alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock()) step();
  };
}

// --- restoring ---

void ShardRecovery::restorePlacements(const ListResult& pages) {
  auto prefix = keys::placementPages(takeover_.shard);
  LatestAttempts attempts;
  for (const auto& entry : pages.entries) {
    auto number = parsePageKey(entry.key, prefix);
    auto page = number ? wire::parsePlacementPage(*entry.value) : std::nullopt;
    if (!page) {
      log_->error("unreadable key, perhaps of another layout key={}", entry.key);
      continue;
    }
    state_.pages().at(*number).version = entry.version;
    restorePage(*number, *page, attempts);
  }
  for (const auto& [task, attempt] : attempts) restorePlaced(task, attempt);
}

// Restores the done tasks, and collects the latest attempt of each placed task.
void ShardRecovery::restorePage(PageNumber number, const wire::PlacementPageRecord& page,
                                LatestAttempts& attempts) {
  for (const auto& [id, tasks] : page.jobs) {
    Job* job = findOrAddCancelled(id);
    if (!job) continue;
    for (auto index : tasks.done) restoreDone(*job, index, number);
    for (const auto& entry : tasks.placed) {
      if (entry.index >= job->tasks.size()) continue;
      auto& latest = attempts[{id, entry.index}];
      if (latest.page == kNoPage || latest.entry.attempt < entry.attempt) latest = {entry, number};
    }
  }
}

// Tasks of a cancelled job may still run and count toward all limits until they are known to be gone.
Job* ShardRecovery::findOrAddCancelled(const JobId& id) {
  if (Job* job = state_.job(id)) return job;
  auto found = view_.jobs.find(id);
  if (found == view_.jobs.end()) return nullptr;
  const JobEntry& entry = found->second;
  if (entry.status != JobStatus::Cancelled || !entry.spec) return nullptr;
  if (entry.shard == takeover_.shard) return &state_.addJob(id, entry);
  // A delegation of another shard's job may have been returned in part, so every task on the pages counts.
  Delegation all{takeover_.shard, std::nullopt, {}};
  for (std::uint32_t index = 0; index < entry.tasks; ++index) all.tasks.push_back(index);
  return &state_.addJob(id, entry, &all);
}

void ShardRecovery::restoreDone(Job& job, std::uint32_t index, PageNumber page) {
  if (index >= job.tasks.size() || job.tasks[index].state != TaskState::Waiting) return;
  job.tasks[index].state = TaskState::Done;
  job.tasks[index].doneCommitted = true;
  ++job.done;
  state_.attachToPage({job.id, index}, page);
}

void ShardRecovery::restorePlaced(const TaskId& task, const LatestAttempt& attempt) {
  Job* job = state_.job(task.job);
  Machine* machine = state_.machine(attempt.entry.machine);
  // A machine without a record was returned, as confirmed by the cloud.
  if (!job || !machine || job->tasks[task.index].state != TaskState::Waiting) return;
  auto& placement = state_.place(*job, task.index, *machine, attempt.entry.attempt, runtime_.now());
  ShardState::commit(placement);
  placement.restored = true;
  placement.desired = job->open();
  state_.attachToPage(task, attempt.page);
  state_.recordImageUse(*machine, job->spec->image, job->spec->imageGb);
}

}  // namespace cherryloft
