#include "scheduler/remote_usage.h"

#include "scheduler/shard_state.h"

namespace cherryloft {
namespace {

// The other owner may see the cancellation's commit later than we do.
constexpr Duration kCancelMargin{2'000};

Resources sumOf(const JobSpec& spec, std::uint32_t tasks) { return spec.each * static_cast<double>(tasks); }

}  // namespace

void RemoteUsage::reserve(const JobId& job, const JobSpec& spec, std::uint32_t tasks) {
  auto sum = sumOf(spec, tasks);
  entries_[job] = {spec.team, sum, Stage::Reserved, std::nullopt};
  state_.countRemoteUsage(spec.team, sum);
}

void RemoteUsage::dropReservation(const JobId& job) {
  auto found = entries_.find(job);
  if (found == entries_.end()) return;
  state_.uncountRemoteUsage(found->second.team, found->second.sum);
  entries_.erase(found);
}

void RemoteUsage::commit(const JobId& job) {
  auto found = entries_.find(job);
  if (found != entries_.end()) found->second.stage = Stage::Committed;
}

void RemoteUsage::countCommitted(const JobId& job, const JobSpec& spec, std::uint32_t tasks) {
  reserve(job, spec, tasks);
  commit(job);
}

void RemoteUsage::trackAlreadyCounted(const JobId& job, const JobSpec& spec, std::uint32_t tasks) {
  entries_[job] = {spec.team, sumOf(spec, tasks), Stage::Committed, std::nullopt};
}

std::size_t RemoteUsage::releaseEnded(const ClusterView& view, ShardId ownShard, Time now) {
  std::size_t released = 0;
  for (auto position = entries_.begin(); position != entries_.end();) {
    auto& [id, entry] = *position;
    auto job = view.jobs.find(id);
    if (job == view.jobs.end() || !over(entry, job->second, ownShard, now)) {
      ++position;
      continue;
    }
    state_.uncountRemoteUsage(entry.team, entry.sum);
    position = entries_.erase(position);
    ++released;
  }
  return released;
}

bool RemoteUsage::over(Entry& entry, const JobEntry& job, ShardId ownShard, Time now) const {
  if (entry.stage != Stage::Committed) return false;
  if (job.status != JobStatus::Cancelled) return job.status == JobStatus::Done || job.shard == ownShard;
  if (!entry.cancelSeenAt) entry.cancelSeenAt = now;
  bool nothingLeft = job.maxConcurrent == 0U;
  return nothingLeft || now - *entry.cancelSeenAt > cancelPeriod_ + kCancelMargin;
}

}  // namespace cherryloft
