#include "scheduler/demand_summary.h"

#include <algorithm>

namespace cherryloft {

DemandSummary::DemandSummary(const Catalog& catalog) : catalog_(catalog) {
  open_.suitable.resize(catalog.size());
  waiting_.suitable.resize(catalog.size());
}

void DemandSummary::WorkByType::add(const Resources& each, double addedCores,
                                    const std::vector<std::size_t>& types) {
  cores += addedCores;
  if (each.cores > 0) ram += addedCores * each.ram / each.cores;
  for (auto type : types) suitable[type] += addedCores;
}

void DemandSummary::addOpen(const JobSpec& spec, double cores,
                            const std::vector<std::size_t>& suitableTypes) {
  open_.add(spec.each, cores, suitableTypes);
  coreSeconds_ += cores * spec.expectedRunSeconds;
  noteTask(spec, suitableTypes);
}

void DemandSummary::addWaiting(const JobSpec& spec, double cores,
                               const std::vector<std::size_t>& suitableTypes) {
  waiting_.add(spec.each, cores, suitableTypes);
  noteTask(spec, suitableTypes);
}

void DemandSummary::noteTask(const JobSpec& spec, const std::vector<std::size_t>& suitableTypes) {
  auto& largest = largestByTypes_[suitableTypes];
  largest = std::max(largest, spec.each.cores);
}

std::vector<std::size_t> DemandSummary::mostSuitableTypes(const WorkByType& work) const {
  double most = 0;
  for (double cores : work.suitable) most = std::max(most, cores);
  std::vector<std::size_t> types;
  for (std::size_t type = 0; type < catalog_.size(); ++type)
    if (work.suitable[type] >= most - kResourceTolerance) types.push_back(type);
  return types;
}

double DemandSummary::largestTaskOn(const std::vector<std::size_t>& types) const {
  double largest = 0;
  for (const auto& [suitable, cores] : largestByTypes_) {
    bool anyInCommon =
        std::find_first_of(suitable.begin(), suitable.end(), types.begin(), types.end()) != suitable.end();
    if (anyInCommon || catalog_.empty()) largest = std::max(largest, cores);
  }
  return largest;
}

// The most memory per core that a task of that size can have on one of the types.
double DemandSummary::maxRamPerCore(double largestTask, const std::vector<std::size_t>& types) const {
  double most = 0;
  for (auto index : types) {
    const auto& size = catalog_[index].size;
    if (largestTask <= size.cores + kResourceTolerance) most = std::max(most, size.ram / largestTask);
  }
  return most;
}

void DemandSummary::writeTo(mesh::Demand& demand) const {
  if (open_.cores > 0) demand.expectedRunS = coreSeconds_ / open_.cores;
  const auto& work = waiting_.cores > 0 ? waiting_ : open_;
  auto types = mostSuitableTypes(work);
  demand.largestTask = largestTaskOn(types);
  if (work.cores > 0) demand.ramPerCore = work.ram / work.cores;
  if (catalog_.empty() || demand.largestTask <= 0) return;
  demand.ramPerCore = std::min(demand.ramPerCore, maxRamPerCore(demand.largestTask, types));
  if (types.size() == catalog_.size()) return;
  for (auto type : types) demand.types.push_back(catalog_[type].name);
}

}  // namespace cherryloft
