#include "policy/admission.h"

#include <set>

namespace cherryloft::policy {

std::optional<std::string> infeasibilityReason(const JobSpec& job, const Settings& settings,
                                               const Catalog& catalog) {
  const Team* team = settings.team(job.team);
  if (!team) return "unknown team";
  std::set<Zone> feasibleZones;  // where a machine type exists that one task fits on
  for (const auto& type : catalog) {
    if (!job.allowsType(type.name) || !job.each.fitsIn(type.size) || job.imageGb > type.cacheGb) continue;
    for (const auto& zone : type.zones)
      if (!job.zone || *job.zone == zone) feasibleZones.insert(zone);
  }
  if (feasibleZones.empty()) return "a task fits no allowed machine type";
  bool needsSeveralZones = job.spread && job.tasks > 1;
  if (needsSeveralZones && (job.oneZone || feasibleZones.size() < 2))
    return "the tasks cannot be spread over zones";
  // Tasks of an array may run one after another; those of other kinds all run at the same time.
  auto concurrent = job.each * (job.kind == JobKind::Array ? 1.0 : job.tasks);
  if (!Resources{concurrent.cores, concurrent.gpus, 0}.fitsIn({team->coreQuota, team->gpuQuota, 0}))
    return "the job needs more than its team's limit";
  return std::nullopt;
}

}  // namespace cherryloft::policy
