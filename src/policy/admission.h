// What can never run (422), and why.
#pragma once

#include <optional>
#include <string>

#include "base/job.h"
#include "config/settings.h"

namespace cherryloft::policy {

std::optional<std::string> infeasibilityReason(const JobSpec& job, const Settings& settings,
                                               const Catalog& catalog);

}  // namespace cherryloft::policy
