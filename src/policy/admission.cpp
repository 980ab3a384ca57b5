#include "policy/admission.h"

#include <set>

namespace cherryloft::policy {

std::optional<std::string> infeasibilityReason(const JobSpec& job, const Settings& settings,
                                               const Catalog& catalog) {
  const Team* team = settings.team(job.team);
  if (!team) return "unknown team";
  std::set<Zone> zones;  // in which one task fits
  for (const auto& t : catalog) {
    if (!job.allowsType(t.name) || !job.each.fitsIn(t.size) || job.imageGb > t.cacheGb) continue;
    for (const auto& z : t.zones)
      if (!job.zone || *job.zone == z) zones.insert(z);
  }
  if (zones.empty()) return "a task fits no allowed machine type";
  bool apart = job.spread && job.tasks > 1;
  if (apart && (job.oneZone || zones.size() < 2)) return "the tasks cannot be spread over zones";
  auto need = job.each * (job.kind == JobKind::Array ? 1.0 : job.tasks);
  if (!Resources{need.cores, need.gpus, 0}.fitsIn({team->coreQuota, team->gpuQuota, 0}))
    return "the job needs more than its team's limit";
  return std::nullopt;
}

}  // namespace cherryloft::policy
