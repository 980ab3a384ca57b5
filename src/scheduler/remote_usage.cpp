#include "scheduler/remote_usage.h"

#include "scheduler/shard_state.h"

namespace cherryloft {
namespace {

// The other owner may learn of the committed cancellation later than this shard.
constexpr Duration kCancelMargin{2'000};

Resources usageOf(const JobSpec& spec, std::uint32_t tasks) { return spec.each * static_cast<double>(tasks); }

}  // namespace

void RemoteUsage::reserve(const JobId& job, const JobSpec& spec, std::uint32_t tasks) {
  auto usage = usageOf(spec, tasks);
  entries_[job] = {spec.team, usage, Stage::Reserved, std::nullopt};
  state_.addRemoteUsage(spec.team, usage);
}

void RemoteUsage::dropReservation(const JobId& job) {
  auto found = entries_.find(job);
  if (found == entries_.end()) return;
  state_.subtractRemoteUsage(found->second.team, found->second.usage);
  entries_.erase(found);
}

void RemoteUsage::markCommitted(const JobId& job) {
  auto found = entries_.find(job);
  if (found != entries_.end()) found->second.stage = Stage::Committed;
}

void RemoteUsage::countCommitted(const JobId& job, const JobSpec& spec, std::uint32_t tasks) {
  reserve(job, spec, tasks);
  markCommitted(job);
}

void RemoteUsage::trackAlreadyCounted(const JobId& job, const JobSpec& spec, std::uint32_t tasks) {
  entries_[job] = {spec.team, usageOf(spec, tasks), Stage::Committed, std::nullopt};
}

std::size_t RemoteUsage::releaseEnded(const ClusterView& view, ShardId ownShard, Time now) {
  std::size_t released = 0;
  for (auto position = entries_.begin(); position != entries_.end();) {
    auto& [id, entry] = *position;
    auto job = view.jobs.find(id);
    if (job == view.jobs.end() || !isReleasable(entry, job->second, ownShard, now)) {
      ++position;
      continue;
    }
    state_.subtractRemoteUsage(entry.team, entry.usage);
    position = entries_.erase(position);
    ++released;
  }
  return released;
}

bool RemoteUsage::isReleasable(Entry& entry, const JobEntry& job, ShardId ownShard, Time now) const {
  if (entry.stage != Stage::Committed) return false;
  if (job.status != JobStatus::Cancelled) return job.status == JobStatus::Done || job.shard == ownShard;
  if (!entry.cancelSeenAt) entry.cancelSeenAt = now;
  bool noTasksLeft = job.maxConcurrent == 0U;
  return noTasksLeft || now - *entry.cancelSeenAt > cancelPeriod_ + kCancelMargin;
}

}  // namespace cherryloft
