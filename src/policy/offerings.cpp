#include "policy/offerings.h"

#include <algorithm>

namespace cherryloft::policy {

bool TaskRequirements::allowsZone(const Zone& zone) const {
  return zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end();
}

const char* toString(UnsuitableReason reason) {
  switch (reason) {
    case UnsuitableReason::TypeNotAllowed:
      return "type not allowed";
    case UnsuitableReason::TooFewCores:
      return "too few cores";
    case UnsuitableReason::TooFewGpus:
      return "too few gpus";
    case UnsuitableReason::TooLittleMemory:
      return "too little memory";
    case UnsuitableReason::CacheTooSmall:
      return "cache too small";
    case UnsuitableReason::ZoneNotAllowed:
      return "zone not allowed";
    case UnsuitableReason::NotAvailable:
      return "not available";
  }
  return "unknown";
}

std::optional<UnsuitableReason> typeUnsuitable(const MachineType& type, const TaskRequirements& task) {
  bool allowed =
      task.types.empty() || std::find(task.types.begin(), task.types.end(), type.name) != task.types.end();
  if (!allowed) return UnsuitableReason::TypeNotAllowed;
  if (task.each.cores > type.size.cores + kResourceTolerance) return UnsuitableReason::TooFewCores;
  if (task.each.gpus > type.size.gpus + kResourceTolerance) return UnsuitableReason::TooFewGpus;
  if (task.each.ram > type.size.ram + kResourceTolerance) return UnsuitableReason::TooLittleMemory;
  if (task.imageGb > type.cacheGb) return UnsuitableReason::CacheTooSmall;
  return std::nullopt;
}

std::optional<UnsuitableReason> offeringsUnsuitable(const MachineType& type, const TaskRequirements& task,
                                                    const InstanceOfferings& unavailable) {
  if (auto reason = typeUnsuitable(type, task)) return reason;
  auto reason = UnsuitableReason::ZoneNotAllowed;
  for (const auto& zone : type.zones) {
    if (!task.allowsZone(zone)) continue;
    reason = UnsuitableReason::NotAvailable;
    bool onDemandAvailable = unavailable.count({type.name, zone, false}) == 0;
    bool spotAvailable = task.spotAllowed && unavailable.count({type.name, zone, true}) == 0;
    if (onDemandAvailable || spotAvailable) return std::nullopt;
  }
  return reason;
}

std::string explainOfferings(const Catalog& catalog, const TaskRequirements& task,
                             const InstanceOfferings& unavailable) {
  std::string text;
  for (const auto& type : catalog) {
    auto reason = offeringsUnsuitable(type, task, unavailable);
    if (!text.empty()) text += ", ";
    text += type.name + ": " + (reason ? toString(*reason) : "suitable");
  }
  return text;
}

}  // namespace cherryloft::policy
