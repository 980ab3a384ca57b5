// What becomes of the scheduler's machines: the leader's wishes, emptying, and what their records say.
#include <algorithm>

#include "actors/scheduler.h"

namespace cherryloft {
namespace {
constexpr Duration kAddressesTogether{3'000};
}  // namespace

void Scheduler::wish(const mesh::HostWish& w) {
  Host* h = books_.host(HostId{w.host});
  if (!loaded_ || !owns() || !h || h->leaving) return;
  switch (w.kind) {
    case mesh::HostWish::Keep:
      h->emptying = false;
      books_.reindex(*h);
      return wake(true);
    case mesh::HostWish::Cede:
      if (h->replicaCores > 0) return;
      h->leaving = true;
      h->giveTo = static_cast<std::int32_t>(w.toShare);
      books_.reindex(*h);
      return;
    case mesh::HostWish::Empty:
      h->emptying = true;
      books_.reindex(*h);
      return;
    default:
      if (!h->placements.empty()) return;
      // A faulty machine is idle all the time, and must not go from share to share before it is known for
      // one.
      if (w.kind == mesh::HostWish::Move && failures_.unsettled(h->id, io_.now())) return;
      h->leaving = true;
      h->giveTo = w.kind == mesh::HostWish::Move ? static_cast<std::int32_t>(w.toShare) : -1;
      books_.reindex(*h);
  }
}

// The machine's replicas, if all of them could move to machines that have their image and so be back at once.
std::optional<std::vector<TaskId>> Scheduler::movableReplicas(const Host& h) const {
  std::map<std::uint32_t, Resources> room;               // less what moves there
  std::map<std::pair<const Job*, Zone>, unsigned> come;  // replicas that move into a zone
  std::vector<TaskId> move;
  for (const auto& [task, p] : h.placements) {
    const auto& spec = *p.job->spec;
    if (spec.shape != Shape::Service) continue;
    unsigned looked = 0;
    Host* to = nullptr;
    for (const auto& [no, x] : *p.job->holders) {
      if (x == &h || !x->open() || ++looked > settings_.tuning.sample) continue;
      auto free = room.try_emplace(no, x->free()).first->second;
      // Within its zone it changes nothing for the zones' rules; elsewhere they must allow one more.
      bool zoneFits = x->zone() == h.zone() || zoneAllows(*p.job, x->zone(), come[{p.job, x->zone()}]);
      if (!spec.each.fitsIn(free) || !allowedKind(*p.job, *x) || !zoneFits) continue;
      to = x;
      break;
    }
    if (!to) return std::nullopt;
    room[to->no] -= spec.each;
    if (to->zone() != h.zone()) ++come[{p.job, to->zone()}];
    move.push_back(task);
  }
  return move;
}

// A machine that is to empty itself: arrays end by themselves, then replicas are moved.
void Scheduler::settleEmptying(Host& h) {
  if (!h.emptying || h.leaving || h.placements.empty()) return;  // once empty, the leader says where it goes
  for (const auto& [_, p] : h.placements)
    if (p.job->spec->shape != Shape::Service || !p.wanted) return;
  auto move = movableReplicas(h);
  if (!move) {
    h.emptying = false;
    books_.reindex(h);
    return;
  }
  log_->info("moving {} replicas off {}", move->size(), h.id.value);
  for (const auto& task : *move)
    if (auto it = h.placements.find(task); it != h.placements.end()) stop(h, task, it->second);
  direct(h);
}

// Nothing of ours can still act on it.
bool Scheduler::mayLeave(const Host& h) const {
  return h.giveTo && h.placements.empty() && h.settled() && !h.directBusy;
}

// What the records should say of our machines: addresses, who is returned, who moves to another share. A
// fleet boots and goes in groups, so one write tells of many.
void Scheduler::settleRecords(Time now) {
  if (recordsBusy_ || now < recordsNotBefore_) return;
  struct Change {
    std::vector<Host*> back;
    std::map<std::int32_t, std::vector<Host*>> moved;
  };
  std::map<std::string, Change> changes;
  for (auto& [_, h] : books_.hosts()) {
    if (h.known.record.phase != wire::HostPhase::InUse) continue;
    if (h.returnNow || (mayLeave(h) && *h.giveTo < 0))
      changes[h.known.group].back.push_back(&h);
    else if (mayLeave(h))
      changes[h.known.group].moved[*h.giveTo].push_back(&h);
    else if (h.heard && h.address != h.known.record.address) {
      // Those of a group come up one after the other.
      if (addressSince_ == Time{}) addressSince_ = now;
      if (now - addressSince_ >= kAddressesTogether) changes[h.known.group];
    }
  }
  if (changes.empty()) return;
  // A move draws an epoch, for which shares compete; what only goes back does not wait for that.
  bool anyMoves =
      std::any_of(changes.begin(), changes.end(), [](const auto& c) { return !c.second.moved.empty(); });
  bool anyElse =
      std::any_of(changes.begin(), changes.end(), [](const auto& c) { return c.second.moved.empty(); });
  bool moves = anyMoves && (!anyElse || !recordsMoved_);
  recordsMoved_ = moves;
  wire::Transaction t;
  std::size_t weight = 0;
  t.when[keys::share(takeover_.share)] = takeover_.version;
  // What we sent under our token must have no effect under the next owner's (invariant 5).
  Epoch token{dir_.epoch.value + 1};
  auto most = store_.unhurried();
  for (const auto& [key, c] : changes) {
    if (!t.apply.empty() && t.apply.size() >= most) break;
    if (c.moved.empty() == moves) continue;
    if (t.apply.size() + 2 + c.moved.size() > settings_.txnOps ||
        weight + 2 * settings_.valueBytes > wire::kMostWeight)
      break;
    auto known = dir_.groups.find(key);
    auto group = dir_.group(key);
    if (known == dir_.groups.end() || group.members.empty()) continue;
    auto version = dir_.hosts.at(group.members.front().id).version;
    std::set<HostId> back, gone;
    for (const Host* h : c.back) back.insert(h->id);
    for (const auto& [to, hosts] : c.moved) {
      auto there = group;
      there.share = ShareNo{static_cast<std::uint32_t>(to)};
      there.token = token;
      there.members.clear();
      for (const Host* h : hosts) {
        gone.insert(h->id);
        there.members.push_back({h->id, wire::HostPhase::InUse, h->address});
      }
      auto name = keys::group(hosts.front()->id, token);
      t.when[name] = Version{0};
      t.apply.push_back({name, wire::encodeGroup(there), {}});
    }
    std::erase_if(group.members, [&](const auto& m) { return gone.count(m.id) > 0; });
    for (auto& m : group.members) {
      if (back.count(m.id) > 0) m.phase = wire::HostPhase::Returning;
      if (const Host* h = books_.host(m.id); h && !h->address.empty()) m.address = h->address;
    }
    t.when[key] = version;
    wire::Write w{key, std::nullopt, {}};
    if (!group.members.empty()) w.value = wire::encodeGroup(group);
    weight += wire::weightOf(w);
    t.apply.push_back(std::move(w));
    if (!c.moved.empty() && t.when.emplace(keys::kEpoch, dir_.epochVersion).second)
      t.apply.push_back({keys::kEpoch, wire::encodeCounter(token), {}});
  }
  if (t.apply.empty()) return;
  addressSince_ = Time{};
  recordsBusy_ = true;
  store_.txn(Urgency::Work, t, Duration{2'000}, guarded([this](TxnResult r) { recordsWritten(r); }));
}

void Scheduler::recordsWritten(const TxnResult& r) {
  recordsBusy_ = false;
  // The directory is to show what was written before it is looked at again.
  recordsNotBefore_ = io_.now() + Duration{300};
  if (std::count(r.failed.begin(), r.failed.end(), keys::share(takeover_.share)) > 0) out_.abandon();
}

}  // namespace cherryloft
