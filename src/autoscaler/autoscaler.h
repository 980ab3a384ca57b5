// Fleet: acts on the leader only. Plans the machines of all shares, and has its parts rent, adopt, record and
// return them. Machines that are to move or go are asked of their owners.
#pragma once

#include "autoscaler/cloud_catalog.h"
#include "autoscaler/machine_adoption.h"
#include "autoscaler/machine_inventory.h"
#include "autoscaler/machine_records.h"
#include "autoscaler/scale_in.h"
#include "autoscaler/scale_out.h"
#include "mesh/messages.h"
#include "policy/autoscaling.h"
#include "wire/workers.h"

namespace cherryloft {

class Fleet {
 public:
  struct Outlet {
    std::function<void(const mesh::HostWish&)> wish;  // to the owner of the share
    // Whether our hold is good this very moment: leadership was judged by a clock read before.
    std::function<bool()> entitled;
  };
  Fleet(const Settings& settings, Io& io, Log log, StateStore& store, const Directory& dir,
        std::uint64_t seed, Outlet out);
  void start();
  void leading(bool yes);
  void load(const mesh::ShareLoad& l);
  // A machine without a record has reported.
  void hostSeen(const wire::Report& r) { adoption_.reported(r); }

 private:
  struct ShareState {
    mesh::ShareLoad load;
    Time at;
  };

  void tick();
  void plan();
  void planShare(ShareNo k, const policy::ShareFleet& f, const policy::Targets& t, double spareSpot);
  void cede(const std::map<ShareNo, policy::ShareFleet>& fleets);
  void rentInTurn(const std::map<ShareNo, policy::ShareFleet>& fleets,
                  const std::map<ShareNo, policy::Targets>& targets);
  static std::vector<ShareNo> byPressure(const std::map<ShareNo, policy::ShareFleet>& fleets,
                                         const std::map<ShareNo, policy::Targets>& targets);
  void emptySome(ShareNo k, const policy::ShareFleet& f, const policy::Targets& t);
  double comingTo(ShareNo to);
  void move(const std::map<ShareNo, policy::ShareFleet>& fleets,
            const std::map<ShareNo, policy::Targets>& targets, bool beat);
  void startRental(ShareNo k, const policy::Wish& wish);
  policy::ShareFleet fleetOf(ShareNo k) const;
  std::set<policy::Offer> unavailable() const { return rentals_.refused(); }
  ShareGaps shareGaps() const;

  const Settings& settings_;
  Io& io_;
  Log log_;
  const Directory& dir_;
  Outlet out_;
  Leadership leadership_;
  FleetContext context_;
  CallBudget calls_;
  CloudCatalog catalog_;
  const Catalog& prices_;
  MachineRecords records_;
  MachineReturns returns_;
  Rentals rentals_;
  MachineAdoption adoption_;
  MachineList list_;
  std::map<ShareNo, ShareState> loads_;
  Time moveAt_{};
  struct Moving {
    ShareNo to;
    Time at;
    double cores;
  };
  std::map<HostId, Moving> moving_;
  std::map<ShareNo, Time> cededAt_;
  std::map<HostId, Time> asked_;  // machines whose owner was told to give them up
};

}  // namespace cherryloft
