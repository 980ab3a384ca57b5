// MachineInventory: fetches the cloud's list of machines and reconciles the records with it.
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
                   ScaleIn& scaleIn)
      : context_(context), catalog_(catalog), adoption_(adoption), scaleIn_(scaleIn) {}
  // Called when a new leadership term begins.
  void reset() { listingTimes_.clear(); }
  // Fetches the list if a refresh is due and the budget has a call left.
  void refresh(CloudCallBudget& budget);
  // Requests the return of recorded machines that the cloud no longer lists or never listed.
  void reconcileRecords();

 private:
  using Machines = std::vector<wire::ListedMachine>;
  struct ListingTimes {
    Time first{}, last{};  // request times of the first and the latest list that contained the machine
  };
  void fetchPage(const std::string& since, const std::shared_ptr<Machines>& machines);
  void handleList(const Machines& machines);
  void reconcileUnrecorded(const wire::ListedMachine& machine);
  void reconcileRecorded(const wire::ListedMachine& machine);
  void reconcileNoLongerListed();
  void reconcileNeverListed();

  const AutoscalerContext& context_;
  const CloudCatalog& catalog_;
  MachineAdoption& adoption_;
  ScaleIn& scaleIn_;
  Time requestedAt_{};
  Time latestListRequestedAt_{};  // request time of the latest list received
  bool fetching_ = false;
  std::map<MachineId, ListingTimes> listingTimes_;
};

}  // namespace cherryloft
