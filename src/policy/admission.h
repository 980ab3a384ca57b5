// Admission control: rejects jobs that no shard could ever run (HTTP 422).
#pragma once

#include <optional>
#include <string>

#include "base/job.h"
#include "config/settings.h"

namespace cherryloft::policy {

// Why the job can never run, as told to the user; nothing if it can.
std::optional<std::string> infeasibilityReason(const JobSpec& job, const Settings& settings,
                                               const Catalog& catalog);

}  // namespace cherryloft::policy
