#include "cluster/cluster_view.h"

#include <charconv>
#include <set>

#include "wire/cloud.h"

namespace cherryloft {
namespace {

constexpr std::size_t kMostEnds = 400;  // keeps an answer's line under 64 KiB; the next answer names the rest

bool under(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

void applyShard(ClusterView& d, const wire::KeyChange& c, const std::string& name) {
  if (c.key == keys::kEpoch) {
    if (auto e = c.value ? wire::parseEpochCounter(*c.value) : std::nullopt)
      d.epoch = *e, d.epochVersion = c.version;
    return;
  }
  if (c.key == keys::kCatalog) {
    auto catalog = c.value ? wire::parseCatalog(*c.value) : std::nullopt;
    if (catalog) d.catalog = std::move(*catalog), d.catalogVersion = c.version;
    return;
  }
  if (c.key == keys::kGroups) {
    d.groupsVersion = c.version;
    return;
  }
  auto owner = c.value ? wire::parseOwnerRecord(*c.value) : std::nullopt;
  if (c.key == keys::kLeader) {
    d.leader.reset();
    if (owner) d.leader = OwnerEntry{*owner, c.version};
    return;
  }
  ShardId k;
  auto [p, ec] = std::from_chars(name.data(), name.data() + name.size(), k.value);
  if (ec != std::errc{} || p != name.data() + name.size()) return;
  d.shards.erase(k);
  if (owner) d.shards[k] = OwnerEntry{*owner, c.version};
}

}  // namespace

// Machines come, change and go with their group; one that moved shows in its new group from the same
// revision on, whichever of the two is seen first.
std::vector<MachineId> ClusterView::applyGroup(const wire::KeyChange& c, const Log& log) {
  auto r = c.value ? wire::parseGroup(*c.value) : wire::GroupRecord{};
  if (!r) {
    // Its machines may hold tasks: what was known of them stands.
    log->error("unreadable machine group {}, perhaps of another layout", c.key);
    return {};
  }
  std::vector<MachineId> touched;
  std::set<MachineId> present;
  for (const auto& m : r->members) {
    auto it = machines.find(m.id);
    if (it != machines.end() && it->second.version > c.version) continue;
    present.insert(m.id);
    machines[m.id] = {
        {r->shard, r->token, m.phase, r->type, r->zone, r->spot, m.address, r->since}, c.version, c.key};
    touched.push_back(m.id);
  }
  for (const auto& id : groups[c.key]) {
    auto it = machines.find(id);
    if (present.count(id) > 0 || it == machines.end() || it->second.group != c.key) continue;
    machines.erase(it);
    touched.push_back(id);
  }
  if (present.empty())
    groups.erase(c.key);
  else
    groups[c.key].assign(present.begin(), present.end());
  return touched;
}

wire::GroupRecord ClusterView::group(const std::string& key) const {
  wire::GroupRecord r;
  auto it = groups.find(key);
  if (it == groups.end()) return r;
  for (const auto& id : it->second) {
    auto h = machines.find(id);
    if (h == machines.end() || h->second.group != key) continue;
    const auto& x = h->second.record;
    r.shard = x.shard, r.token = x.token, r.type = x.type, r.zone = x.zone, r.spot = x.spot,
    r.since = x.since;
    r.members.push_back({id, x.phase, x.address});
  }
  return r;
}

Version ClusterView::groupVersion(const std::string& key) const {
  auto members = groups.find(key);
  if (members == groups.end()) return {};
  for (const auto& id : members->second)
    if (auto h = machines.find(id); h != machines.end() && h->second.group == key) return h->second.version;
  return {};
}

std::vector<wire::Command> ClusterView::stopCommandsForCancelled(const wire::WorkerHeartbeat& r) const {
  std::vector<wire::Command> ends;
  for (const auto& t : r.tasks) {
    if (ends.size() >= kMostEnds) break;
    auto job = jobs.find(t.task.job);
    if (job != jobs.end() && job->second.status == JobStatus::Cancelled && t.phase != wire::TaskPhase::Exited)
      ends.push_back({wire::Command::Verb::Stop, t.task, t.attempt, 0});
  }
  return ends;
}

void ClusterView::jobEnded(const JobId& id, JobStatus status, Version version) {
  auto it = jobs.find(id);
  if (it == jobs.end() || it->second.status != JobStatus::Open || it->second.version > version) return;
  it->second.status = status;
  it->second.version = version;
  if (status == JobStatus::Done) it->second.spec.reset();
}

void ClusterView::jobEnded(const JobId& id, JobStatus status) {
  if (auto it = jobs.find(id); it != jobs.end()) jobEnded(id, status, it->second.version);
}

std::vector<MachineId> ClusterView::apply(const wire::KeyChange& c, const Log& log) {
  if (under(c.key, keys::kJobs)) {
    JobId id{c.key.substr(keys::kJobs.size())};
    auto r = c.value ? wire::parseJobRecord(id, *c.value) : std::nullopt;
    if (!r) {
      log->error("unreadable job record {}", id.value);
      return {};
    }
    auto& j = jobs[id];
    if (j.version > c.version) return {};
    if (j.status !=
        JobStatus::Open) {  // terminal is final; the end may have been heard of before its record came
      j.version = c.version;
      j.maxConcurrent = r->maxConcurrent;
      return {};
    }
    j.status = r->status;
    j.shard = r->shard;
    j.tasks = r->tasks;
    j.submitted = r->submitted;
    j.version = c.version;
    j.maxConcurrent = r->maxConcurrent;
    j.delegations = std::move(r->delegations);
    j.doneRemotely = std::move(r->doneRemotely);
    j.spec = r->spec ? std::make_shared<const JobSpec>(std::move(*r->spec)) : nullptr;
  } else if (under(c.key, keys::kMachines)) {
    return applyGroup(c, log);
  } else if (under(c.key, keys::kControllers)) {
    ControllerId n{c.key.substr(keys::kControllers.size())};
    if (c.value)
      controllers[n] = c.version;
    else
      controllers.erase(n);
  } else if (under(c.key, keys::kShards)) {
    applyShard(*this, c, c.key.substr(keys::kShards.size()));
  }
  return {};
}

}  // namespace cherryloft
