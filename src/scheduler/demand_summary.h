// DemandSummary: the sizes and the machine types by which the leader plans the capacity for one kind of work
// (on-demand only, spot allowed) as a whole.
#pragma once

#include <map>
#include <vector>

#include "base/job.h"
#include "mesh/load_messages.h"

namespace cherryloft {

class DemandSummary {
 public:
  // The catalog must outlive the summary.
  explicit DemandSummary(const Catalog& catalog);
  // Adds an open job with so many cores of unfinished tasks. suitableTypes: as indices into the catalog.
  void addOpen(const JobSpec& spec, double cores, const std::vector<std::size_t>& suitableTypes);
  // Adds so many cores of tasks that wait for capacity.
  void addWaiting(const JobSpec& spec, double cores, const std::vector<std::size_t>& suitableTypes);
  // Sets run time, sizes and types. The types are those that suit most of the waiting work, or of all open
  // work if none waits; some type fits a task of the largest size with the mean memory per core.
  void writeTo(mesh::Demand& demand) const;

 private:
  // Work on the types that suit it, in cores.
  struct WorkByType {
    double cores = 0;
    double ram = 0;                // GB
    std::vector<double> suitable;  // by type
    void add(const Resources& each, double addedCores, const std::vector<std::size_t>& types);
  };

  void noteTask(const JobSpec& spec, const std::vector<std::size_t>& suitableTypes);
  [[nodiscard]] std::vector<std::size_t> mostSuitableTypes(const WorkByType& work) const;
  [[nodiscard]] double largestTaskOn(const std::vector<std::size_t>& types) const;
  [[nodiscard]] double maxRamPerCore(double largestTask, const std::vector<std::size_t>& types) const;

  const Catalog& catalog_;
  WorkByType open_;
  WorkByType waiting_;
  // Cores of the largest task for each set of suitable types.
  std::map<std::vector<std::size_t>, double> largestByTypes_;
  double coreSeconds_ = 0;  // of the open work, as declared by users
};

}  // namespace cherryloft
