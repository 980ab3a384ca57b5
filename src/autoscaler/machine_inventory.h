// MachineList: reads the cloud's list of machines and compares it with the records.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "autoscaler/machine_adoption.h"
#include "wire/cloud.h"

namespace cherryloft {

class MachineInventory {
 public:
  MachineInventory(const AutoscalerContext& context, const CloudCatalog& catalog, MachineAdoption& adoption,
                   ScaleIn& returns)
      : context_(context), catalog_(catalog), adoption_(adoption), scaleIn_(returns) {}
  // A new leadership begins.
  void restart() { seen_.clear(); }
  // Asks for the list if it is time to and the budget has a call left.
  void refresh(CallBudget& calls);
  // Returns the machines whose records outlived them.
  void reviewRecords();

 private:
  using Machines = std::vector<wire::ListedMachine>;
  struct Seen {
    Time first{}, last{};  // lists that named it
  };
  void fetchFrom(const std::string& since, const std::shared_ptr<Machines>& machines);
  void fetched(const Machines& machines);
  void reviewUnrecorded(const wire::ListedMachine& machine);
  void reviewRecorded(const wire::ListedMachine& machine);
  void reviewNoLongerListed();
  void reviewNeverListed();

  const AutoscalerContext& context_;
  const CloudCatalog& catalog_;
  MachineAdoption& adoption_;
  ScaleIn& scaleIn_;
  Time askedAt_{};
  Time listedAt_{};  // when the last list that came was asked for
  bool fetching_ = false;
  std::map<MachineId, Seen> seen_;
};

}  // namespace cherryloft
