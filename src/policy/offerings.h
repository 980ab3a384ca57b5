// Which of the cloud's offerings suit a task, and why the others do not. Pure functions.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::policy {

// A machine type in a zone, spot or on-demand, as offered by the cloud.
struct InstanceOffering {
  std::string type;
  Zone zone;
  bool spot = false;
  friend auto operator<=>(const InstanceOffering&, const InstanceOffering&) = default;
};
using InstanceOfferings = std::set<InstanceOffering>;

// What one task needs of the machine that it runs on.
struct TaskRequirements {
  Resources each;
  double imageGb = 0;
  std::vector<std::string> types;  // allowed machine types; empty: any
  std::vector<Zone> zones;         // allowed zones; empty: any
  bool spotAllowed = false;

  [[nodiscard]] bool allowsZone(const Zone& zone) const;
};

// Why no machine of a type can be requested for a task.
enum class UnsuitableReason : std::uint8_t {
  TypeNotAllowed,
  TooFewCores,
  TooFewGpus,
  TooLittleMemory,
  CacheTooSmall,  // for the task's image
  ZoneNotAllowed,
  NotAvailable,  // in backoff after the cloud refused a request
};
const char* toString(UnsuitableReason reason);

// Why the task can't run on any machine of the type, whatever its zone; nothing if it can.
std::optional<UnsuitableReason> typeUnsuitable(const MachineType& type, const TaskRequirements& task);
// The same for the type's offerings; nothing if one of them can be requested.
std::optional<UnsuitableReason> offeringsUnsuitable(const MachineType& type, const TaskRequirements& task,
                                                    const InstanceOfferings& unavailable);

// For the log: each type of the catalog with the reason why it does not suit the task, or "suitable".
std::string explainOfferings(const Catalog& catalog, const TaskRequirements& task,
                             const InstanceOfferings& unavailable);

}  // namespace cherryloft::policy
