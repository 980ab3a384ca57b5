#include "autoscaler/machine_adoption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kBatchDelay{1'000};
constexpr Duration kProbeTimeout{2'000};
constexpr Duration kProbeInterval{1'000};
constexpr std::size_t kMaxConcurrentProbes = 16;  // unrecorded machines probed at the same time

long machineCount(const ShardDeficit& deficit, const std::string& type) {
  auto it = deficit.machineCountByType.find(type);
  return it == deficit.machineCountByType.end() ? 0 : it->second;
}

}  // namespace

ShardId selectShardForType(const ShardDeficits& deficits, const std::string& type) {
  auto needsMore = [&](const auto& a, const auto& b) {
    long countA = machineCount(a.second, type);
    long countB = machineCount(b.second, type);
    return countA != countB ? countA < countB : a.second.missingCores > b.second.missingCores;
  };
  return std::min_element(deficits.begin(), deficits.end(), needsMore)->first;
}

MachineAdoption::MachineAdoption(const AutoscalerContext& context, const CloudCatalog& catalog,
                                 MachineRecords& records, const ScaleIn& scaleIn,
                                 ComputeDeficits computeDeficits)
    : context_(context),
      catalog_(catalog),
      records_(records),
      scaleIn_(scaleIn),
      computeDeficits_(std::move(computeDeficits)) {}

void MachineAdoption::reset() {
  probing_.clear();
  unassigned_.clear();
}

void MachineAdoption::adopt(const MachineId& id, wire::MachineRecord record) {
  if (records_.isPending(id)) return;
  if (unassigned_.empty()) assignAt_ = context_.runtime.now() + kBatchDelay;
  unassigned_.emplace(id, std::move(record));
}

bool MachineAdoption::isUnrecorded(const MachineId& id) const {
  return context_.clusterView.machines.count(id) == 0 && !scaleIn_.wasReturned(id);
}

// The heartbeat may be a delayed copy from a machine that no longer exists, so the machine is probed first.
void MachineAdoption::handleHeartbeat(const wire::WorkerHeartbeat& heartbeat) {
  if (!context_.leadership.active || !isUnrecorded(heartbeat.machine) || heartbeat.address.empty()) return;
  if (records_.isPending(heartbeat.machine) || probing_.size() >= kMaxConcurrentProbes) return;
  if (!probing_.insert(heartbeat.machine).second) return;
  Address address;
  try {
    address = parseAddress(heartbeat.address);
  } catch (const SettingsError&) {
    return;
  }
  context_.runtime.call(
      address, {"GET", "/show", "", false}, kProbeTimeout,
      [this, id = heartbeat.machine](const HttpResult& result) { handleProbeResult(id, result); });
}

void MachineAdoption::handleProbeResult(const MachineId& id, const HttpResult& result) {
  auto heartbeat = result.answered(200) ? wire::parseHeartbeat(result.response.body) : std::nullopt;
  context_.runtime.after(kProbeInterval, [this, id] { probing_.erase(id); });
  if (!context_.leadership.active || !heartbeat || heartbeat->machine != id || !isUnrecorded(id)) return;
  adopt(id, {ShardId{}, Epoch{}, wire::MachinePhase::InUse, heartbeat->type, heartbeat->zone, heartbeat->spot,
             heartbeat->address, context_.runtime.wall()});
}

// Assigning small machines first gives each shard some of every size; services are placed on the smallest
// ones.
std::vector<MachineId> MachineAdoption::smallestFirst() const {
  std::vector<std::pair<double, MachineId>> bySize;
  for (const auto& [id, record] : unassigned_) {
    const auto* type = findType(catalog_.machineTypes(), record.type);
    bySize.emplace_back(type ? type->size.cores : 1, id);
  }
  std::sort(bySize.begin(), bySize.end());
  std::vector<MachineId> ids;
  ids.reserve(bySize.size());
  for (const auto& [_, id] : bySize) ids.push_back(id);
  return ids;
}

void MachineAdoption::assignToShards() {
  if (unassigned_.empty() || context_.runtime.now() < assignAt_) return;
  auto order = smallestFirst();
  auto unassigned = std::exchange(unassigned_, {});
  auto deficits = computeDeficits_();
  std::map<std::tuple<ShardId, std::string, Zone, bool>, wire::MachineGroupRecord> groups;
  for (const auto& id : order) {
    const auto& record = unassigned.at(id);
    auto shard = selectShardForType(deficits, record.type);
    auto& deficit = deficits[shard];
    const auto* type = findType(catalog_.machineTypes(), record.type);
    deficit.missingCores -= type ? type->size.cores : 1;
    ++deficit.machineCountByType[record.type];
    records_.markPending(id);
    wire::MachineGroupRecord fresh{
        shard, Epoch{}, record.type, record.zone, record.spot, context_.runtime.wall(), {}};
    auto& group = groups.try_emplace({shard, record.type, record.zone, record.spot}, fresh).first->second;
    group.members.push_back({id, wire::MachinePhase::InUse, record.address});
  }
  for (const auto& [_, group] : groups) {
    context_.log->info("machines adopted: count={} type={} zone={} shard={}", group.members.size(),
                       group.type, group.zone.value, group.shard.value);
    records_.create(group);
  }
}

}  // namespace cherryloft
