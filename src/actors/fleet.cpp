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
constexpr Duration kFirstRefusal{8'000}, kMostRefusal{30'000};
constexpr Duration kAdoptTogether{1'000};
constexpr double kNeverUp = 3.0;  // boot times after which a starting machine is given up
constexpr double kNeverUpPlusS = 20;
constexpr double kLateBoot = 2.0;  // boot times after which it is no longer counted on
constexpr double kMinIdleS = 10;
constexpr double kMinAgeS = 60;  // what the cloud charges at least
constexpr double kSettleS = 5;   // a new leader looks before it acts
constexpr std::size_t kMostReturns = 100;
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
  claims_ = 0;
  lastListed_.clear();
  listing_.clear();
  loads_.clear();
  rentals_.clear();
  waitingAdoption_.clear();
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
  if (!leads_) return;
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
  adoptWaiting();
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
  listing_.clear();
  for (const auto& h : hosts) {
    lastListed_[h.id] = now;
    listing_.emplace(h.id, h);
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

// Records of machines that the list once named and now lacks for more than twice its lag.
void Fleet::reviewRecords() {
  auto now = io_.now();
  for (auto it = lastListed_.begin(); it != lastListed_.end();) {
    auto known = dir_.hosts.find(it->first);
    bool gone = listAt_ - it->second > seconds(2 * settings_.listLagS + 2);
    if (known == dir_.hosts.end() && now - it->second > seconds(4 * settings_.listLagS)) {
      it = lastListed_.erase(it);
      continue;
    }
    if (known != dir_.hosts.end() && gone && known->second.record.phase != wire::HostPhase::Returning)
      markReturning(it->first, "not listed any more");
    ++it;
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
  for (const auto& [cores, id] : order) {
    auto record = waiting.at(id);
    record.share = neediest(record.type);
    adopting_.insert(id);
    adoptedCores_[id] = {record.share, cores, record.type};
    log_->info("adopting {} for share {}", id.value, record.share.value);
    store_.create({keys::host(id), wire::encodeHost(record), {}}, Duration{3'000},
                  [this, id = id](TxnResult) {
                    adopting_.erase(id);
                    adoptedCores_.erase(id);
                  });
  }
}

void Fleet::hostSeen(const wire::Report& r) {
  if (!leads_ || dir_.hosts.count(r.host) > 0 || returned_.count(r.host) > 0) return;
  adopt(r.host, {ShareNo{}, Epoch{}, wire::HostPhase::InUse, r.type, r.zone, r.spot, r.address, io_.wall()});
}

void Fleet::markReturning(const HostId& id, const char* why) {
  auto known = dir_.hosts.find(id);
  if (known == dir_.hosts.end() || !dir_.leader || !marking_.insert(id).second) return;
  log_->info("{} {}: returning it", id.value, why);
  auto record = known->second.record;
  record.phase = wire::HostPhase::Returning;
  wire::Transaction t;
  t.when[keys::host(id)] = known->second.stamp;
  t.when[keys::kLeader] = dir_.leader->stamp;
  t.apply.push_back({keys::host(id), wire::encodeHost(record), {}});
  store_.txn(Urgency::Control, std::move(t), Duration{2'000}, [this, id](TxnResult) { marking_.erase(id); });
}

// The record goes only after the cloud's word: its absence proves to all that nothing is left on the machine.
void Fleet::returnMarked() {
  auto batch = std::make_shared<std::vector<std::pair<HostId, Stamp>>>();
  std::vector<HostId> names;
  auto most = std::min<std::size_t>(kMostReturns, settings_.txnOps);
  for (const auto& [id, h] : dir_.hosts) {
    if (h.record.phase != wire::HostPhase::Returning || batch->size() >= most) continue;
    batch->emplace_back(id, h.stamp);
    names.push_back(id);
  }
  if (names.empty()) {
    calls_ += 1;  // not used after all
    return;
  }
  returnBusy_ = true;
  call({"POST", "/hosts/return", wire::encodeReturn(names), false}, [this, batch](HttpResult h) {
    if (!h.answered(200)) {
      returnBusy_ = false;
      return;
    }
    wire::Transaction t;
    for (const auto& [id, stamp] : *batch) {
      log_->info("{} returned", id.value);
      if (auto known = dir_.hosts.find(id); known != dir_.hosts.end()) {
        const auto& r = known->second.record;
        refusedUntil_.erase({r.type, r.zone, r.spot});  // there is one to be had again
      }
      returned_.insert(id);
      t.when[keys::host(id)] = stamp;
      t.apply.push_back({keys::host(id), std::nullopt, {}});
    }
    store_.txn(Urgency::Control, std::move(t), Duration{2'000}, [this](TxnResult) { returnBusy_ = false; });
  });
}

// --- sizing ---

policy::ShareFleet Fleet::fleetOf(ShareNo k) const {
  auto work = [](const mesh::Demand& d) {
    policy::Work w{d.used, d.waiting, d.arriving, d.largestTask, d.largestJob, d.ramPerCore, d.types, {}};
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
    if (it != shown.end()) {
      h.emptying = it->second->emptying;
      h.pinned = it->second->pinned;
      h.ageS = it->second->ageS;
    }
    if (it != shown.end() && h.emptying) {
      h.counts = false;
    } else if (it == shown.end() || !it->second->usable) {
      h.counts = boots && (it == shown.end() || !it->second->draining);
    } else {
      h.counts = !it->second->draining;
      h.usedCores = h.cores - it->second->freeCores;
      h.idleS = it->second->idleS > 0 ? it->second->idleS : -1;
    }
    h.id = id;
    f.hosts.push_back(h);
  }
  for (const auto& r : rentals_)
    if (r->share == k)
      f.hosts.push_back({r->request.type, r->request.zone, r->request.spot, r->cores, true, -1});
  return f;
}

// The share with the fewest machines of that type, and among those the one that lacks most.
ShareNo Fleet::neediest(const std::string& type) const {
  ShareNo best{0};
  double bestGap = 0;
  long bestSame = 0;
  for (std::uint32_t k = 0; k < settings_.size(); ++k) {
    auto f = fleetOf(ShareNo{k});
    double gap = f.firm.used + f.firm.waiting + f.lendable.used + f.lendable.waiting;
    long same = 0;
    for (const auto& h : f.hosts) gap -= h.cores, same += h.type == type;
    for (const auto& [_, a] : adoptedCores_)
      if (a.share == ShareNo{k}) gap -= a.cores, same += a.type == type;
    if (k > 0 && (same > bestSame || (same == bestSame && gap <= bestGap))) continue;
    best = ShareNo{k};
    bestGap = gap;
    bestSame = same;
  }
  return best;
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
    targets[ShareNo{k}] = policy::targets(fleets[ShareNo{k}], prices_, settings_.tuning.spareShare);
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
  for (const auto& [k, f] : fleets) planShare(k, f, targets[k], spare - burst);
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
  auto go = policy::letGo(f, t, prices_, kMinIdleS, spareSpot);
  if (!go) return emptyOne(k, f, t);
  const auto& want = f.hosts[*go];
  for (const auto& h : loads_[k].load.hosts) {
    if (h.host != want.id.value) continue;
    auto& asked = asked_[HostId{h.host}];
    if (asked != Time{} && now - asked < kAskAgain) continue;
    asked = now;
    log_->info("letting go of idle {}", h.host);
    out_.wish({k.value, h.host, mesh::HostWish::Return, 0});
    return;
  }
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

// The design's rebalancing: idle machines of shares that can spare them go to waiting work. Between two beats
// the same is done for one machine a share and turn, on request (DESIGN.md, exceptions).
void Fleet::move(const std::map<ShareNo, policy::ShareFleet>& fleets,
                 const std::map<ShareNo, policy::Targets>& targets, bool beat) {
  auto now = io_.now();
  for (auto to : byPressure(fleets, targets)) {
    const auto& need = fleets.at(to);
    double missing = need.firm.waiting + need.lendable.waiting;
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
    record(*hosts, *r);
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

void Fleet::record(const std::vector<HostId>& hosts, const Rental& r) {
  for (const auto& id : hosts) {
    adopting_.insert(id);
    wire::HostRecord rec{
        r.share, Epoch{},   wire::HostPhase::InUse, r.request.type, r.request.zone, r.request.spot,
        "",      io_.wall()};
    store_.create({keys::host(id), wire::encodeHost(rec), {}}, Duration{5'000},
                  [this, id](TxnResult) { adopting_.erase(id); });
  }
}

}  // namespace cherryloft
