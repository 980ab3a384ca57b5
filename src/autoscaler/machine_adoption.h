// MachineAdoption: deals machines without a record out to shares. They were rented by a leader that did not
// live to record them, or were there from the start.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "autoscaler/cloud_catalog.h"
#include "autoscaler/machine_records.h"
#include "autoscaler/scale_in.h"
#include "wire/workers.h"

namespace cherryloft {

// How much a share lacks.
struct ShareGap {
  double cores = 0;                            // that it is short of
  std::map<std::string, long> machinesOfType;  // that it has
};
using ShareGaps = std::map<ShareNo, ShareGap>;

class MachineAdoption {
 public:
  // Tells what each share lacks now.
  using FindGaps = std::function<ShareGaps()>;

  MachineAdoption(const FleetContext& context, const CloudCatalog& catalog, MachineRecords& records,
                  const MachineReturns& returns, FindGaps findGaps);
  // A new leadership begins.
  void restart();
  // A machine without a record is surely there. Those that turn up together are dealt out together.
  void adopt(const HostId& id, wire::HostRecord record);
  // A machine without a record has reported.
  void reported(const wire::Report& report);
  // Deals out the machines that have waited for others.
  void dealOut();

 private:
  bool unknown(const HostId& id) const;
  void asked(const HostId& id, const HttpResult& result);
  std::vector<HostId> smallestFirst() const;

  const FleetContext& context_;
  const CloudCatalog& catalog_;
  MachineRecords& records_;
  const MachineReturns& returns_;
  FindGaps findGaps_;
  std::map<HostId, wire::HostRecord> waiting_;
  Time dealAt_{};
  std::set<HostId> asking_;
};

// The share with the fewest machines of that type, and among those the one that lacks most.
ShareNo neediestShare(const ShareGaps& gaps, const std::string& type);

}  // namespace cherryloft
