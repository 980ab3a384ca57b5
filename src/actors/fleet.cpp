#include "actors/fleet.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {
constexpr Duration kTick{500};
constexpr Duration kCloudDeadline{4'000};
constexpr Duration kCatalogEvery{30'000};
constexpr Duration kListEvery{2'500};
constexpr Duration kLoadStale{5'000};
constexpr Duration kAskAgain{5'000};
constexpr Duration kCedeAgain{20'000};
constexpr Duration kMoveTakes{20'000};  // after which a machine asked to move is taken to stay
constexpr Duration kFirstRefusal{8'000}, kMostRefusal{30'000};
constexpr Duration kAdoptTogether{1'000};
constexpr double kNeverUp = 3.0;  // boot times after which a starting machine is given up
constexpr double kNeverUpPlusS = 20;
constexpr double kNeverListedPlusS = 10;
constexpr double kLateBoot = 2.0;  // boot times after which it is no longer counted on
constexpr double kMinIdleS = 10;
constexpr double kMinAgeS = 60;    // what the cloud charges at least
constexpr double kNotYetTold = 3;  // a record so young may not be in its owner's load yet
constexpr double kSettleS = 5;     // a new leader looks before it acts
constexpr std::size_t kMostReturns = 100;
constexpr std::size_t kMostAsking = 16;  // machines that turned up, asked at a time
constexpr unsigned kMostLetGo = 20;      // idle machines of a share in a turn
}  // namespace

Fleet::Fleet(const Settings& settings, Io& io, Log log, StateStore& store, const Directory& dir,
             std::uint64_t seed, Outlet out)
    : settings_(settings),
      io_(io),
      log_(std::move(log)),
      store_(store),
      dir_(dir),
      rng_(seed),
      out_(std::move(out)),
      calls_(settings.cloudRps),
      refilled_(io.now()) {}

void Fleet::start() { tick(); }

void Fleet::leading(bool yes) {
  leads_ = yes;
  if (!yes) return;
  ledSince_ = moveAt_ = io_.now();
  listed_.clear();
  toMark_.clear();
  asking_.clear();
  current_ = false;
  toRecord_.clear();
  recording_.clear();
  adopting_.clear();
  catchUp();
  loads_.clear();
  rentals_.clear();
  waitingAdoption_.clear();
}

// What former leaders recorded must be in view before anything is recorded anew: their writes fail from our
// epoch on, so a look after it sees all of them. The same goes for what we recorded ourselves.
void Fleet::catchUp() {
  auto since = ledSince_;
  auto seen = [this, since](bool ok) {
    if (!leads_ || since != ledSince_) return;
    if (!ok)
      return io_.after(Duration{300}, [this, since] {
        if (since == ledSince_) catchUp();
      });
    current_ = true;
    // Recorded, and then in view; or not, and then the machine list names them again.
    for (const auto& id : std::exchange(recording_, {})) adopting_.erase(id);
    recordWaiting();
  };
  store_.catchUp(keys::kShares, [this, seen](bool ok) {
    if (!ok) return seen(false);
    store_.catchUp(keys::kHosts, seen);
  });
}

void Fleet::load(const mesh::ShareLoad& l) {
  auto& s = loads_[ShareNo{l.share}];
  if (s.load.epoch > l.epoch) return;
  s = {l, io_.now()};
}

void Fleet::call(HttpRequest r, HttpDone done) {
  io_.call(settings_.cloud, std::move(r), kCloudDeadline, std::move(done));
}

void Fleet::tick() {
  io_.after(kTick, [this] { tick(); });
  if (!leads_ || !out_.entitled()) return;
  auto now = io_.now();
  // Our part of the calls is all of them, as only the leader speaks to the cloud; a rest is left for a rival.
  calls_ = std::min(calls_ + inSeconds(now - refilled_) * settings_.cloudRps * 0.7, settings_.cloudRps);
  refilled_ = now;
  auto afford = [this] {
    if (calls_ < 1) return false;
    calls_ -= 1;
    return true;
  };
  if (prices_.empty()) prices_ = dir_.catalog;  // until the cloud answers
  if (!catalogBusy_ && (catalogAt_ == Time{} || now - catalogAt_ >= kCatalogEvery) && afford())
    fetchCatalog();
  if (!listBusy_ && (listAt_ == Time{} || now - listAt_ >= kListEvery) && afford())
    listHosts("", std::make_shared<std::vector<wire::ListedHost>>());
  if (!returnBusy_ && afford()) returnMarked();
  reviewRecords();
  markAll();
  if (current_) adoptWaiting();
  if (!prices_.empty() && now - ledSince_ >= seconds(kSettleS)) plan();
}

void Fleet::fetchCatalog() {
  catalogBusy_ = true;
  call({"GET", "/catalog", "", false}, [this](HttpResult h) {
    catalogBusy_ = false;
    auto fresh = h.answered(200) ? wire::parseCatalog(h.response.body) : std::nullopt;
    catalogAt_ = fresh ? io_.now() : io_.now() - kCatalogEvery + Duration{1'000};
    if (!fresh) return;
    prices_ = *fresh;
    if (leads_) saveCatalog(*fresh);
  });
}

// Kept so that a cloud outage does not stop a restarted controller from deciding. Spot prices move all the
// time and are no reason to write.
void Fleet::saveCatalog(const Catalog& fresh) {
  auto steady = [](Catalog c) {
    for (auto& t : c) t.spotPrice = 0;
    return wire::encodeCatalog(c);
  };
  if (!dir_.catalog.empty() && steady(dir_.catalog) == steady(fresh)) return;
  auto value = wire::encodeCatalog(fresh);
  if (value.size() > settings_.valueBytes) {
    log_->error("the catalog of {} bytes is too large to be kept", value.size());
    return;
  }
  wire::Transaction t;
  t.when[keys::kCatalog] = dir_.catalogStamp;
  t.apply.push_back({keys::kCatalog, value, {}});
  store_.txn(Urgency::Control, std::move(t), Duration{2'000}, [this](TxnResult r) {
    if (!r.ok()) catalogAt_ = Time{};
  });
}

void Fleet::listHosts(std::string since, std::shared_ptr<std::vector<wire::ListedHost>> sofar) {
  listBusy_ = true;
  listAt_ = io_.now();
  std::string path = "/hosts?limit=500";
  if (!since.empty()) path += "&since=" + since;
  call({"GET", path, "", false}, [this, sofar](HttpResult h) {
    auto page = h.answered(200) ? wire::parseHosts(h.response.body) : std::nullopt;
    if (!page) {
      listBusy_ = false;
      return;
    }
    bool more = page->truncated && !page->hosts.empty();
    std::move(page->hosts.begin(), page->hosts.end(), std::back_inserter(*sofar));
    if (more) return listHosts(sofar->back().id.value, sofar);
    listBusy_ = false;
    if (leads_) listed(*sofar);
  });
}

void Fleet::listed(const std::vector<wire::ListedHost>& hosts) {
  auto now = io_.now();
  listedAt_ = listAt_;
  for (const auto& h : hosts) {
    listed_.try_emplace(h.id, Listed{listAt_, listAt_}).first->second.last = listAt_;
    auto known = dir_.hosts.find(h.id);
    if (known == dir_.hosts.end()) {
      // Rented by a leader that did not live to note it, or there from the start.
      bool settled = now - ledSince_ >= seconds(kSettleS);
      if (h.state != wire::ListedHost::State::Failed && returned_.count(h.id) == 0 && settled)
        adopt(h.id,
              {ShareNo{}, Epoch{}, wire::HostPhase::InUse, h.type, h.zone, h.spot, h.address, io_.wall()});
      continue;
    }
    if (known->second.record.phase == wire::HostPhase::Returning) continue;
    if (h.state == wire::ListedHost::State::Failed) markReturning(h.id, "failed");
    const auto* type = findType(prices_, h.type);
    if (h.state == wire::ListedHost::State::Starting && type &&
        h.heldS > kNeverUp * type->bootS + kNeverUpPlusS)
      markReturning(h.id, "never came up");
  }
}

// Records of machines that the list once named and now lacks. A list is at most twice the lag old, and a
// machine once listed stays listed until it is gone: one that was listed for longer than that is gone for
// sure, and of the others one waits until no list can be older than the first that named it.
void Fleet::reviewRecords() {
  auto now = io_.now();
  for (auto it = listed_.begin(); it != listed_.end();) {
    const auto& [id, seen] = *it;
    auto known = dir_.hosts.find(id);
    if (known == dir_.hosts.end() && now - seen.last > seconds(4 * settings_.listLagS)) {
      it = listed_.erase(it);
      continue;
    }
    bool gone = seen.last < listedAt_ && listedAt_ - seen.first > seconds(2 * settings_.listLagS + 2);
    if (known != dir_.hosts.end() && gone && known->second.record.phase != wire::HostPhase::Returning)
      markReturning(id, "not listed any more");
    ++it;
  }
  // One that was gone before any list named it.
  if (listedAt_ < ledSince_) return;
  auto listAge = inSeconds(now - listedAt_);
  for (const auto& [id, h] : dir_.hosts) {
    if (h.record.phase != wire::HostPhase::InUse || listed_.count(id) > 0) continue;
    double age = static_cast<double>(io_.wall().value - h.record.since.value) / 1000.0 - listAge;
    if (age > 4 * settings_.listLagS + kNeverListedPlusS) markReturning(id, "was never listed");
  }
}

void Fleet::adopt(const HostId& id, wire::HostRecord record) {
  if (adopting_.count(id) > 0) return;
  if (waitingAdoption_.empty()) adoptAt_ = io_.now() + kAdoptTogether;
  waitingAdoption_.emplace(id, std::move(record));
}

// Machines that turn up together are dealt out together, the small ones first, so that each share has some of
// each size: services settle on the smallest.
void Fleet::adoptWaiting() {
  if (waitingAdoption_.empty() || io_.now() < adoptAt_) return;
  std::vector<std::pair<double, HostId>> order;
  for (const auto& [id, r] : waitingAdoption_) {
    const auto* type = findType(prices_, r.type);
    order.emplace_back(type ? type->size.cores : 1, id);
  }
  std::sort(order.begin(), order.end());
  auto waiting = std::exchange(waitingAdoption_, {});
  auto lacks = shareGaps();
  std::map<std::tuple<ShareNo, std::string, Zone, bool>, std::vector<HostId>> together;
  for (const auto& [cores, id] : order) {
    auto& record = waiting.at(id);
    record.share = neediest(lacks, record.type);
    auto& lack = lacks[record.share];
    lack.gap -= cores;
    ++lack.ofType[record.type];
    adopting_.insert(id);
    together[{record.share, record.type, record.zone, record.spot}].push_back(id);
  }
  for (const auto& [kind, ids] : together) {
    const auto& [share, type, zone, spot] = kind;
    log_->info("adopting {} {} in {} for share {}", ids.size(), type, zone.value, share.value);
    record(ids, share, type, zone, spot, &waiting);
  }
}

// A machine without a record has reported. Its report may be a late copy, and the machine gone: it is asked.
void Fleet::hostSeen(const wire::Report& r) {
  if (!leads_ || dir_.hosts.count(r.host) > 0 || returned_.count(r.host) > 0 || r.address.empty()) return;
  if (adopting_.count(r.host) > 0 || asking_.size() >= kMostAsking || !asking_.insert(r.host).second) return;
  Address to;
  try {
    to = parseAddress(r.address);
  } catch (const SettingsError&) {
    return;
  }
  io_.call(to, {"GET", "/show", "", false}, Duration{2'000}, [this, id = r.host](HttpResult h) {
    auto now = h.answered(200) ? wire::parseReport(h.response.body) : std::nullopt;
    io_.after(Duration{1'000}, [this, id] { asking_.erase(id); });
    if (!leads_ || !now || now->host != id || dir_.hosts.count(id) > 0 || returned_.count(id) > 0) return;
    adopt(id, {ShareNo{}, Epoch{}, wire::HostPhase::InUse, now->type, now->zone, now->spot, now->address,
               io_.wall()});
  });
}

void Fleet::markReturning(const HostId& id, const char* why) {
  if (dir_.hosts.count(id) == 0 || !toMark_.insert(id).second) return;
  log_->info("{} {}: returning it", id.value, why);
}

// Writes machine groups anew with a change to some of their members, as many as one transaction takes.
// Returns the machines that it tells of.
std::vector<HostId> Fleet::rewrite(const std::set<HostId>& ids, bool drop,
                                   std::function<void(const TxnResult&)> done) {
  std::map<std::string, std::set<HostId>> byGroup;
  for (const auto& id : ids)
    if (auto h = dir_.hosts.find(id); h != dir_.hosts.end()) byGroup[h->second.group].insert(id);
  wire::Transaction t;
  std::size_t weight = 0;
  std::vector<HostId> told;
  t.when[keys::kLeader] = dir_.leader->stamp;
  // What is dropped frees tasks; what is only marked can wait.
  auto most = drop ? settings_.txnOps : store_.unhurried();
  for (const auto& [key, changed] : byGroup) {
    if (t.apply.size() >= most || weight + settings_.valueBytes > wire::kMostWeight) break;
    auto group = dir_.group(key);
    if (group.members.empty()) continue;
    t.when[key] = dir_.hosts.at(group.members.front().id).stamp;
    if (drop)
      std::erase_if(group.members, [&](const auto& m) { return changed.count(m.id) > 0; });
    else
      for (auto& m : group.members)
        if (changed.count(m.id) > 0) m.phase = wire::HostPhase::Returning;
    wire::Write w{key, std::nullopt, {}};
    if (!group.members.empty()) w.value = wire::encodeGroup(group);
    weight += wire::weightOf(w);
    t.apply.push_back(std::move(w));
    told.insert(told.end(), changed.begin(), changed.end());
  }
  if (t.apply.empty()) return {};
  // In turn with the commits of our own share, never before all of them: where machines come and go by the
  // hundreds this alone would take all changes there are.
  store_.txn(Urgency::Work, std::move(t), Duration{4'000},
             [done = std::move(done)](TxnResult r) { done(r); });
  return told;
}

void Fleet::markAll() {
  std::erase_if(toMark_, [&](const HostId& id) {
    auto h = dir_.hosts.find(id);
    return h == dir_.hosts.end() || h->second.record.phase == wire::HostPhase::Returning;
  });
  if (toMark_.empty() || marking_ || !dir_.leader) return;
  marking_ = true;
  auto told = rewrite(toMark_, false, [this](const TxnResult&) { marking_ = false; });
  if (told.empty()) marking_ = false;
}

// The record goes only after the cloud's word: its absence proves to all that nothing is left on the machine.
void Fleet::returnMarked() {
  std::vector<HostId> names;
  std::set<std::string> groups;
  for (const auto& [id, h] : dir_.hosts) {
    if (h.record.phase != wire::HostPhase::Returning || names.size() >= kMostReturns) continue;
    if (groups.count(h.group) == 0 && groups.size() >= settings_.txnOps) continue;
    groups.insert(h.group);
    names.push_back(id);
  }
  if (names.empty() || !dir_.leader) {
    calls_ += 1;  // not used after all
    return;
  }
  returnBusy_ = true;
  call({"POST", "/hosts/return", wire::encodeReturn(names), false}, [this, names](HttpResult h) {
    returnBusy_ = h.answered(200) && leads_ && dir_.leader;
    if (!returnBusy_) return;
    for (const auto& id : names) {
      log_->info("{} returned", id.value);
      if (auto known = dir_.hosts.find(id); known != dir_.hosts.end()) {
        const auto& r = known->second.record;
        refusedUntil_.erase({r.type, r.zone, r.spot});  // there is one to be had again
      }
      returned_.insert(id);
    }
    auto told =
        rewrite({names.begin(), names.end()}, true, [this](const TxnResult&) { returnBusy_ = false; });
    if (told.empty()) returnBusy_ = false;
  });
}

// --- sizing ---

policy::ShareFleet Fleet::fleetOf(ShareNo k) const {
  auto work = [](const mesh::Demand& d) {
    policy::Work w{d.used,        d.waiting,    d.arriving,   d.leaving, d.runS,
                   d.largestTask, d.largestJob, d.ramPerCore, d.types,   {}};
    for (const auto& z : d.stuckZones) w.stuckZones.push_back(Zone{z});
    return w;
  };
  policy::ShareFleet f;
  auto state = loads_.find(k);
  std::map<std::string, const mesh::HostLoad*> shown;
  if (state != loads_.end()) {
    f.firm = work(state->second.load.firm);
    f.lendable = work(state->second.load.lendable);
    for (const auto& h : state->second.load.hosts) shown[h.host] = &h;
  }
  auto wall = io_.wall();
  for (const auto& [id, known] : dir_.hosts) {
    const auto& r = known.record;
    if (r.share != k || r.phase != wire::HostPhase::InUse) continue;
    const auto* type = findType(prices_, r.type);
    policy::FleetHost h{r.type, r.zone, r.spot, type ? type->size.cores : 0, true, -1};
    auto it = shown.find(id.value);
    double age = static_cast<double>(wall.value - r.since.value) / 1000.0;
    bool boots = type && age < kLateBoot * type->bootS + 5;
    if (it == shown.end()) {
      // In plain use, as the owner does not name it; or not yet seen by it.
      h.counts = state != loads_.end() || boots;
      h.usedCores = age < kNotYetTold ? 0 : h.cores;
      h.pinned = true;
    } else {
      h.emptying = it->second->emptying;
      h.pinned = it->second->pinned;
      h.ageS = it->second->ageS;
      h.usedCores = h.cores - it->second->freeCores;
      if (it->second->usable) h.idleS = it->second->idleS > 0 ? it->second->idleS : -1;
      h.counts = !h.emptying && !it->second->draining && (it->second->usable || boots);
    }
    h.id = id;
    f.hosts.push_back(h);
  }
  for (const auto& r : rentals_)
    if (r->share == k)
      f.hosts.push_back({r->request.type, r->request.zone, r->request.spot, r->cores, true, -1});
  return f;
}

std::map<ShareNo, Fleet::Lack> Fleet::shareGaps() const {
  std::map<ShareNo, Lack> out;
  for (std::uint32_t k = 0; k < settings_.size(); ++k) {
    auto f = fleetOf(ShareNo{k});
    auto& lack = out[ShareNo{k}];
    lack.gap = f.firm.used + f.firm.waiting + f.lendable.used + f.lendable.waiting;
    for (const auto& h : f.hosts) lack.gap -= h.cores, ++lack.ofType[h.type];
  }
  return out;
}

// The share with the fewest machines of that type, and among those the one that lacks most.
ShareNo Fleet::neediest(std::map<ShareNo, Lack>& lacks, const std::string& type) {
  auto before = [&](auto& a, auto& b) {
    long na = a.second.ofType[type], nb = b.second.ofType[type];
    return na != nb ? na < nb : a.second.gap > b.second.gap;
  };
  return std::min_element(lacks.begin(), lacks.end(), before)->first;
}

std::set<policy::Offer> Fleet::unavailable() const {
  std::set<policy::Offer> out;
  for (const auto& [o, until] : refusedUntil_)
    if (until > io_.now()) out.insert(o);
  return out;
}

void Fleet::plan() {
  auto now = io_.now();
  std::map<ShareNo, policy::ShareFleet> fleets;
  std::map<ShareNo, policy::Targets> targets;
  for (std::uint32_t k = 0; k < settings_.size(); ++k) {
    auto s = loads_.find(ShareNo{k});
    if (s == loads_.end() || now - s->second.at > kLoadStale) continue;
    fleets[ShareNo{k}] = fleetOf(ShareNo{k});
    targets[ShareNo{k}] =
        policy::targets(fleets[ShareNo{k}], prices_, settings_.tuning.spareShare, settings_.patienceS());
  }
  bool beat = now - moveAt_ >= settings_.tuning.moveEvery;
  if (beat) moveAt_ = now;
  move(fleets, targets, beat);
  // Spare room is common to all shares, as idle machines are moved on request.
  double spare = 0, burst = 0;
  for (const auto& [k, f] : fleets) {
    spare += policy::coresOf(f) - targets[k].ample;
    burst = std::max(burst, f.lendable.largestJob);
  }
  rentInTurn(fleets, targets);
  cede(fleets);
  for (const auto& [k, f] : fleets) planShare(k, f, targets[k], spare - burst);
}

// A share with work and no machine at all, while the cloud has none to give: the largest share cedes one, so
// that none of its teams starves.
void Fleet::cede(const std::map<ShareNo, policy::ShareFleet>& fleets) {
  auto now = io_.now();
  for (const auto& [to, need] : fleets) {
    bool has = std::any_of(need.hosts.begin(), need.hosts.end(), [](const auto& h) { return h.cores > 0; });
    if (has || need.firm.waiting + need.lendable.waiting <= 0 || now - cededAt_[to] < kCedeAgain) continue;
    auto rich = std::max_element(fleets.begin(), fleets.end(), [](const auto& a, const auto& b) {
      return a.second.hosts.size() < b.second.hosts.size();
    });
    if (rich->second.hosts.size() < 2) continue;
    for (const auto& h : loads_[rich->first].load.hosts) {
      if (!h.usable || (h.spot && need.lendable.waiting <= 0)) continue;
      cededAt_[to] = now;
      log_->info("share {} cedes {} to share {}", rich->first.value, h.host, to.value);
      out_.wish({rich->first.value, h.host, mesh::HostWish::Cede, to.value});
      break;
    }
  }
}

// One rental for each share in turn, the most pressed first, so that the first in line does not take all
// there is.
void Fleet::rentInTurn(const std::map<ShareNo, policy::ShareFleet>& fleets,
                       const std::map<ShareNo, policy::Targets>& targets) {
  auto planned = fleets;
  auto offers = unavailable();
  for (bool any = true; any && calls_ >= 1;) {
    any = false;
    for (auto k : byPressure(planned, targets)) {
      auto& f = planned[k];
      bool keeps = std::any_of(f.hosts.begin(), f.hosts.end(), [](const auto& h) { return h.emptying; });
      if (calls_ < 1 || (keeps && policy::isShort(f, targets.at(k)))) continue;  // planShare keeps that one
      auto wish = policy::rent(f, targets.at(k), prices_, offers);
      if (!wish) continue;
      startRental(k, *wish);
      f.hosts.push_back({wish->offer.type,
                         wish->offer.zone,
                         wish->offer.spot,
                         wish->cores,
                         true,
                         -1,
                         0,
                         0,
                         false,
                         false,
                         {}});
      any = true;
    }
  }
}

std::vector<ShareNo> Fleet::byPressure(const std::map<ShareNo, policy::ShareFleet>& fleets,
                                       const std::map<ShareNo, policy::Targets>& targets) const {
  std::vector<ShareNo> out;
  for (const auto& [k, _] : fleets) out.push_back(k);
  std::stable_sort(out.begin(), out.end(), [&](ShareNo a, ShareNo b) {
    return policy::pressure(fleets.at(a), targets.at(a)) > policy::pressure(fleets.at(b), targets.at(b));
  });
  return out;
}

void Fleet::planShare(ShareNo k, const policy::ShareFleet& f, const policy::Targets& t, double spareSpot) {
  auto now = io_.now();
  if (log_->should_log(spdlog::level::debug)) {
    double ordinary = 0, spot = 0;
    for (const auto& h : f.hosts)
      if (h.counts) (h.spot ? spot : ordinary) += h.cores;
    log_->debug("share {}: firm {}+{} lendable {}+{} wants {} of {}, has {}+{} spot", k.value, f.firm.used,
                f.firm.waiting, f.lendable.used, f.lendable.waiting, t.ordinary, t.total, ordinary, spot);
  }
  for (auto& h : loads_[k].load.hosts) {
    if (!h.emptying || h.idleS <= 0) continue;
    auto& asked = asked_[HostId{h.host}];
    if (asked != Time{} && now - asked < kAskAgain) continue;
    asked = now;
    out_.wish({k.value, h.host, mesh::HostWish::Return, 0});
  }
  if (policy::isShort(f, t)) {
    // A machine that was to empty itself is back at once, and paid for already.
    auto& hosts = loads_[k].load.hosts;
    auto kept =
        std::find_if(hosts.begin(), hosts.end(), [](const auto& h) { return h.emptying && h.idleS <= 0; });
    if (kept != hosts.end()) {
      kept->emptying = false;
      out_.wish({k.value, kept->host, mesh::HostWish::Keep, 0});
    }
    return;
  }
  if (auto small = policy::replacement(f, t, prices_, unavailable(), kMinAgeS); small && calls_ >= 1)
    return startRental(k, *small);
  auto left = f;
  unsigned gone = 0;
  while (gone < kMostLetGo) {
    auto go = policy::letGo(left, t, prices_, kMinIdleS, spareSpot);
    if (!go) break;
    auto& want = left.hosts[*go];
    want.counts = false;
    if (want.spot) spareSpot -= want.cores;
    ++gone;
    auto& asked = asked_[want.id];
    if (asked != Time{} && now - asked < kAskAgain) continue;
    asked = now;
    log_->info("letting go of idle {}", want.id.value);
    out_.wish({k.value, want.id.value, mesh::HostWish::Return, 0});
  }
  if (gone == 0) emptyOne(k, f, t);
}

// Consolidates: a machine that the others can do without takes no more work.
void Fleet::emptyOne(ShareNo k, const policy::ShareFleet& f, const policy::Targets& t) {
  auto busy = policy::toEmpty(f, t, prices_, kMinAgeS);
  if (!busy) return;
  const auto& want = f.hosts[*busy];
  for (auto& h : loads_[k].load.hosts) {
    if (h.host != want.id.value) continue;
    h.emptying = true;
    log_->info("share {} empties {}", k.value, h.host);
    return out_.wish({k.value, h.host, mesh::HostWish::Empty, 0});
  }
}

// Cores of machines that were asked to move to a share and are not recorded there yet: a record may take its
// time, and a share that waits for it must not be sent ever more machines.
double Fleet::comingTo(ShareNo to) {
  double cores = 0;
  std::erase_if(moving_, [&](const auto& m) {
    auto h = dir_.hosts.find(m.first);
    return h == dir_.hosts.end() || h->second.record.share == m.second.to ||
           io_.now() - m.second.at > kMoveTakes;
  });
  for (const auto& [_, m] : moving_)
    if (m.to == to) cores += m.cores;
  return cores;
}

// The design's rebalancing: idle machines of shares that can spare them go to waiting work. Between two beats
// the same is done for one machine a share and turn, on request (DESIGN.md, exceptions).
void Fleet::move(const std::map<ShareNo, policy::ShareFleet>& fleets,
                 const std::map<ShareNo, policy::Targets>& targets, bool beat) {
  auto now = io_.now();
  for (auto to : byPressure(fleets, targets)) {
    const auto& need = fleets.at(to);
    double missing = need.firm.waiting + need.lendable.waiting - comingTo(to);
    for (const auto& [from, spare] : fleets) {
      if (from == to) continue;
      const auto& t = targets.at(from);
      double left = policy::coresOf(spare) - t.total;
      for (auto& h : loads_[from].load.hosts) {
        const auto* type = findType(prices_, h.type);
        bool spareable = h.emptying || (h.usable && type && type->size.cores <= left);
        if (missing <= 0 || !type || h.idleS <= 0 || !spareable) continue;
        if (h.spot && need.lendable.waiting <= 0) continue;
        auto& asked = asked_[HostId{h.host}];
        if (asked != Time{} && now - asked < kAskAgain) continue;
        asked = now;
        if (!h.emptying) left -= type->size.cores;
        missing -= type->size.cores;
        h.idleS = 0;
        moving_[HostId{h.host}] = {to, now, type->size.cores};
        log_->info("moving {} from share {} to {}", h.host, from.value, to.value);
        out_.wish({from.value, h.host, mesh::HostWish::Move, to.value});
        if (!beat) break;
      }
    }
  }
}

void Fleet::startRental(ShareNo k, const policy::Wish& wish) {
  calls_ -= 1;
  auto r = std::make_shared<Rental>();
  r->request = {"cl-" + settings_.node.value + "-" + std::to_string(dir_.leader->record.epoch.value) + "-" +
                    std::to_string(++claims_),
                wish.offer.type, wish.offer.zone, wish.offer.spot, wish.count};
  r->share = k;
  r->cores = wish.cores;
  rentals_.push_back(r);
  log_->info("renting {} {} in {} for share {} (spot {})", wish.count, wish.offer.type, wish.offer.zone.value,
             k.value, wish.offer.spot);
  rent(r);
}

void Fleet::rent(std::shared_ptr<Rental> r) {
  call({"POST", "/hosts", wire::encodeRental(r->request), false}, [this, r](HttpResult h) { rented(r, h); });
}

void Fleet::rented(std::shared_ptr<Rental> r, const HttpResult& h) {
  auto now = io_.now();
  policy::Offer offer{r->request.type, r->request.zone, r->request.spot};
  auto finish = [&] { rentals_.erase(std::remove(rentals_.begin(), rentals_.end(), r), rentals_.end()); };
  auto hosts = h.answered(200) ? wire::parseRented(h.response.body) : std::nullopt;
  bool trouble = h.answered(503) && h.response.body.find("no capacity") == std::string::npos;
  if (hosts) {
    record(*hosts, r->share, r->request.type, r->request.zone, r->request.spot, nullptr);
    if (hosts->size() < r->request.count) {
      refusedUntil_[offer] = now + kFirstRefusal;
    } else {
      refusedFor_.erase(offer);
    }
    finish();
  } else if (h.answered(503) && !trouble) {
    auto& backoff = refusedFor_[offer];
    backoff = std::clamp(backoff * 2, kFirstRefusal, kMostRefusal);
    refusedUntil_[offer] = now + backoff + Duration{rng_() % 1000};
    finish();
  } else if (h.answered(400) || !leads_) {
    finish();
  } else {
    // Executed or not: the same claim again tells, and never rents twice.
    io_.after(Duration{500 + rng_() % 500}, [this, r] {
      if (leads_ && std::count(rentals_.begin(), rentals_.end(), r) > 0) rent(r);
    });
  }
}

void Fleet::record(const std::vector<HostId>& hosts, ShareNo share, const std::string& type, const Zone& zone,
                   bool spot, const std::map<HostId, wire::HostRecord>* known) {
  if (!leads_ || !dir_.leader) return;
  auto most = wire::membersIn(settings_.valueBytes);
  for (std::size_t from = 0; from < hosts.size(); from += most) {
    wire::GroupRecord g{share, Epoch{}, type, zone, spot, io_.wall(), {}};
    for (auto i = from; i < std::min(from + most, hosts.size()); ++i)
      g.members.push_back({hosts[i], wire::HostPhase::InUse, known ? known->at(hosts[i]).address : ""});
    for (const auto& m : g.members) adopting_.insert(m.id);
    toRecord_.push_back(std::move(g));
  }
  recordWaiting();
}

// Groups are created one transaction after the other, each once the one before is in view. That a group's key
// is absent does not tell a late transaction that it was never there: so all write one key under its stamp,
// and none is carried out after a newer one. It could put machines into two groups, or bring back what was
// returned.
void Fleet::recordWaiting() {
  if (!leads_ || !dir_.leader || !current_ || !recording_.empty()) return;
  wire::Transaction t;
  t.when[keys::kLeader] = dir_.leader->stamp;
  t.when[keys::kGroups] = dir_.groupsStamp;
  t.apply.push_back({keys::kGroups, wire::encodeCounter(dir_.leader->record.epoch), {}});
  std::size_t weight = 0;
  while (!toRecord_.empty() && t.apply.size() < settings_.txnOps &&
         (t.apply.size() == 1 || weight + settings_.valueBytes <= wire::kMostWeight)) {
    auto g = std::move(toRecord_.front());
    toRecord_.pop_front();
    std::erase_if(g.members, [&](const auto& m) {
      bool known = dir_.hosts.count(m.id) > 0 || returned_.count(m.id) > 0;
      if (known) adopting_.erase(m.id);
      return known || !recording_.insert(m.id).second;
    });
    if (g.members.empty()) continue;
    wire::Write w{keys::group(g.members.front().id, dir_.leader->record.epoch), wire::encodeGroup(g), {}};
    weight += wire::weightOf(w);
    t.when[w.key] = Stamp{0};
    t.apply.push_back(std::move(w));
  }
  if (t.apply.size() > 1) sendRecords(t);
}

// After no answer the same again: either it is done now, or the conflict tells that it was or never will be.
void Fleet::sendRecords(const wire::Transaction& t) {
  store_.txn(Urgency::Control, t, Duration{3'000}, [this, t, since = ledSince_](TxnResult r) {
    if (!leads_ || since != ledSince_) return;
    using O = TxnResult::Outcome;
    if (r.outcome == O::Unknown || r.outcome == O::Refused)
      return io_.after(Duration{200}, [this, t, since] {
        if (leads_ && since == ledSince_) sendRecords(t);
      });
    current_ = false;
    catchUp();
  });
}

}  // namespace cherryloft
