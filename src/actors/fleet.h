// Fleet: acts on the leader only. Rents, adopts, moves and returns machines.
#pragma once

#include <deque>
#include <set>

#include "actors/directory.h"
#include "actors/io.h"
#include "actors/store.h"
#include "mesh/messages.h"
#include "policy/fleet.h"
#include "wire/cloud.h"
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
  void hostSeen(const wire::Report& r);

 private:
  struct ShareState {
    mesh::ShareLoad load;
    Time at;
  };
  struct Rental {
    wire::Rental request;
    ShareNo share;
    double cores = 0;
  };

  void tick();
  void call(HttpRequest r, HttpDone done);
  void fetchCatalog();
  void saveCatalog(const Catalog& fresh);
  void listHosts(std::string since, std::shared_ptr<std::vector<wire::ListedHost>> sofar);
  void listed(const std::vector<wire::ListedHost>& hosts);
  void reviewRecords();
  void adopt(const HostId& id, wire::HostRecord record);
  void adoptWaiting();
  void markReturning(const HostId& id, const char* why);
  void markAll();
  std::vector<HostId> rewrite(const std::set<HostId>& ids, bool drop,
                              std::function<void(const TxnResult&)> done);
  void returnMarked();
  void catchUp();
  void plan();
  void planShare(ShareNo k, const policy::ShareFleet& f, const policy::Targets& t, double spareSpot);
  void cede(const std::map<ShareNo, policy::ShareFleet>& fleets);
  void rentInTurn(const std::map<ShareNo, policy::ShareFleet>& fleets,
                  const std::map<ShareNo, policy::Targets>& targets);
  std::vector<ShareNo> byPressure(const std::map<ShareNo, policy::ShareFleet>& fleets,
                                  const std::map<ShareNo, policy::Targets>& targets) const;
  void emptyOne(ShareNo k, const policy::ShareFleet& f, const policy::Targets& t);
  double comingTo(ShareNo to);
  void move(const std::map<ShareNo, policy::ShareFleet>& fleets,
            const std::map<ShareNo, policy::Targets>& targets, bool beat);
  void startRental(ShareNo k, const policy::Wish& wish);
  policy::ShareFleet fleetOf(ShareNo k) const;
  std::set<policy::Offer> unavailable() const;
  void rent(std::shared_ptr<Rental> r);
  void rented(std::shared_ptr<Rental> r, const HttpResult& h);
  void record(const std::vector<HostId>& hosts, ShareNo share, const std::string& type, const Zone& zone,
              bool spot, const std::map<HostId, wire::HostRecord>* known);
  void recordWaiting();
  void sendRecords(const wire::Transaction& t);
  struct Lack {
    double gap = 0;  // cores that a share is short of
    std::map<std::string, long> ofType;
  };
  std::map<ShareNo, Lack> shareGaps() const;
  static ShareNo neediest(std::map<ShareNo, Lack>& lacks, const std::string& type);

  const Settings& settings_;
  Io& io_;
  Log log_;
  StateStore& store_;
  const Directory& dir_;
  std::mt19937_64 rng_;
  Outlet out_;
  bool leads_ = false;
  Time ledSince_{};
  double calls_ = 0;
  Time refilled_{};
  Catalog prices_;  // the cloud's own, with current spot prices
  Time catalogAt_{}, listAt_{}, moveAt_{};
  Time listedAt_{};  // when the last list that came was asked for
  bool catalogBusy_ = false, listBusy_ = false, returnBusy_ = false;
  std::map<ShareNo, ShareState> loads_;
  std::map<policy::Offer, Time> refusedUntil_;
  std::map<policy::Offer, Duration> refusedFor_;
  std::vector<std::shared_ptr<Rental>> rentals_;  // not yet answered
  std::uint64_t claims_ = 0;                      // of this process: it may lead twice under one epoch
  bool current_ = false;                          // all that former leaders recorded, and we did, is in view
  struct Listed {
    Time first{}, last{};  // lists that named it
  };
  std::map<HostId, Listed> listed_;
  std::set<HostId> toMark_, adopting_, asking_;
  bool marking_ = false;
  std::deque<wire::GroupRecord> toRecord_;
  std::set<HostId> recording_;  // machines of groups on their way, until what became of them is in view
  std::map<HostId, wire::HostRecord> waitingAdoption_;
  Time adoptAt_{};
  std::set<HostId> returned_;
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
