#include "autoscaler/machine_adoption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cherryloft {
namespace {

constexpr Duration kDealTogether{1'000};
constexpr Duration kAskDeadline{2'000};
constexpr Duration kAskAgain{1'000};
constexpr std::size_t kMostAsking = 16;  // machines that turned up, asked at a time

long machinesOfType(const ShardGap& gap, const std::string& type) {
  auto it = gap.machinesOfType.find(type);
  return it == gap.machinesOfType.end() ? 0 : it->second;
}

}  // namespace

ShardId shardWithLargestGap(const ShardGaps& gaps, const std::string& type) {
  auto needier = [&](const auto& a, const auto& b) {
    long ofA = machinesOfType(a.second, type);
    long ofB = machinesOfType(b.second, type);
    return ofA != ofB ? ofA < ofB : a.second.cores > b.second.cores;
  };
  return std::min_element(gaps.begin(), gaps.end(), needier)->first;
}

MachineAdoption::MachineAdoption(const AutoscalerContext& context, const CloudCatalog& catalog,
                                 MachineRecords& records, const ScaleIn& returns, FindGaps findGaps)
    : context_(context),
      catalog_(catalog),
      records_(records),
      scaleIn_(returns),
      findGaps_(std::move(findGaps)) {}

void MachineAdoption::restart() {
  asking_.clear();
  waiting_.clear();
}

void MachineAdoption::adopt(const MachineId& id, wire::MachineRecord record) {
  if (records_.pending(id)) return;
  if (waiting_.empty()) dealAt_ = context_.runtime.now() + kDealTogether;
  waiting_.emplace(id, std::move(record));
}

bool MachineAdoption::unknown(const MachineId& id) const {
  return context_.clusterView.machines.count(id) == 0 && !scaleIn_.returned(id);
}

// Its report may be a late copy, and the machine gone: it is asked.
void MachineAdoption::reported(const wire::WorkerHeartbeat& report) {
  if (!context_.leadership.active || !unknown(report.machine) || report.address.empty()) return;
  if (records_.pending(report.machine) || asking_.size() >= kMostAsking) return;
  if (!asking_.insert(report.machine).second) return;
  Address address;
  try {
    address = parseAddress(report.address);
  } catch (const SettingsError&) {
    return;
  }
  context_.runtime.call(address, {"GET", "/show", "", false}, kAskDeadline,
                        [this, id = report.machine](const HttpResult& result) { asked(id, result); });
}

void MachineAdoption::asked(const MachineId& id, const HttpResult& result) {
  auto report = result.answered(200) ? wire::parseHeartbeat(result.response.body) : std::nullopt;
  context_.runtime.after(kAskAgain, [this, id] { asking_.erase(id); });
  if (!context_.leadership.active || !report || report->machine != id || !unknown(id)) return;
  adopt(id, {ShardId{}, Epoch{}, wire::MachinePhase::InUse, report->type, report->zone, report->spot,
             report->address, context_.runtime.wall()});
}

// The small ones first, so that each shard has some of each size: services settle on the smallest.
std::vector<MachineId> MachineAdoption::smallestFirst() const {
  std::vector<std::pair<double, MachineId>> bySize;
  for (const auto& [id, record] : waiting_) {
    const auto* type = findType(catalog_.prices(), record.type);
    bySize.emplace_back(type ? type->size.cores : 1, id);
  }
  std::sort(bySize.begin(), bySize.end());
  std::vector<MachineId> ids;
  ids.reserve(bySize.size());
  for (const auto& [_, id] : bySize) ids.push_back(id);
  return ids;
}

void MachineAdoption::assignToShards() {
  if (waiting_.empty() || context_.runtime.now() < dealAt_) return;
  auto order = smallestFirst();
  auto waiting = std::exchange(waiting_, {});
  auto gaps = findGaps_();
  std::map<std::tuple<ShardId, std::string, Zone, bool>, wire::MachineGroupRecord> groups;
  for (const auto& id : order) {
    const auto& record = waiting.at(id);
    auto shard = shardWithLargestGap(gaps, record.type);
    auto& gap = gaps[shard];
    const auto* type = findType(catalog_.prices(), record.type);
    gap.cores -= type ? type->size.cores : 1;
    ++gap.machinesOfType[record.type];
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
