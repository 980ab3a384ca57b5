#include "actors/store.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cherryloft {
namespace {

// Of this controller's part of the limits, what it lets itself use; the rest absorbs clock differences.
constexpr double kOfBudget = 0.9;
constexpr double kForWork =
    2.5;  // changes that pass between two transactions of work while changes are short
constexpr double kForCreations = 0.5;    // the part of the changes that creations get at least, about
constexpr double kCreationsWaitS = 1.5;  // a creation that would wait longer is not taken
constexpr Duration kFollow{8'000};
constexpr Duration kFollowDeadline{10'000};
constexpr Duration kPause{250};  // after a 429

std::string pathOf(const std::string& prefix) { return "/keys?prefix=" + prefix; }

}  // namespace

StateStore::StateStore(const Settings& settings, Io& io, Log log, std::uint64_t seed)
    : settings_(settings),
      io_(io),
      log_(std::move(log)),
      rng_(seed),
      part_(1.0 / settings.size()),
      refilled_(io.now()) {
  requests_ = rps();
  writes_ = wps();
}

double StateStore::rps() const { return settings_.stateRps * part_ * kOfBudget; }
double StateStore::wps() const { return settings_.stateWriteRps * part_ * kOfBudget; }

bool StateStore::crowded() const { return writes_ < 0.6 * wps() || !creations_.empty(); }

std::size_t StateStore::unhurried() const {
  return crowded() ? std::max<std::size_t>(settings_.txnOps / 3, 2) : settings_.txnOps;
}

Duration StateStore::workEvery() const { return seconds(std::min(kForWork / std::max(wps(), 0.1), 1.0)); }

std::optional<int> StateStore::creationsBackedUp() const {
  double wait = static_cast<double>(creations_.size()) / std::max(wps() * kForCreations, 0.1);
  if (wait <= kCreationsWaitS) return std::nullopt;
  return static_cast<int>(std::ceil(wait));
}

void StateStore::refill() {
  auto now = io_.now();
  double dt = inSeconds(now - refilled_);
  refilled_ = now;
  // A transaction at the limit must always be affordable, however small our part.
  requests_ = std::min(requests_ + dt * rps(), std::max(rps(), 2.0));
  writes_ = std::min(writes_ + dt * wps(), std::max(wps(), static_cast<double>(settings_.txnOps)));
}

void StateStore::enqueue(Urgency u, const char* purpose, HttpRequest r, unsigned writes, Duration deadline,
                         HttpDone done) {
  auto& q = queues_[static_cast<std::size_t>(u)];
  // More questions than can have their turn in time: what can't is told at once, and never fills our memory.
  if (u == Urgency::User && static_cast<double>(q.size()) > std::max(rps() * inSeconds(deadline), 1.0)) {
    ++tally_.outOfTime;
    return io_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
  }
  q.push_back({purpose, std::move(r), writes, io_.now() + deadline, std::move(done)});
  pump();
}

void StateStore::pump() {
  refill();
  auto now = io_.now();
  for (std::size_t u = 0; u < queues_.size(); ++u) {
    auto& q = queues_[u];
    bool hold = u == static_cast<std::size_t>(Urgency::Hold);
    while (!q.empty()) {
      auto& head = q.front();
      if (head.giveUp <= now) {
        auto done = std::move(head.done);
        q.pop_front();
        ++tally_.outOfTime;
        io_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
        continue;
      }
      // Renewals never wait for the budget; they are few, and all else depends on them.
      bool affordable = hold || (now >= pausedUntil_ && requests_ >= 1 && writes_ >= head.writes);
      if (!affordable) {
        if (!pumpSet_) {
          pumpSet_ = true;
          io_.after(Duration{10}, [this] {
            pumpSet_ = false;
            pump();
          });
        }
        return;
      }
      requests_ -= 1;
      writes_ -= head.writes;
      auto job = std::move(head);
      q.pop_front();
      ++tally_.requests[job.purpose];
      io_.call(settings_.state, std::move(job.request), std::max(job.giveUp - now, Duration{1}),
               [this, done = std::move(job.done)](HttpResult r) {
                 tally_.refused += r.answered(429);
                 if (r.answered(429)) pausedUntil_ = io_.now() + kPause + Duration{rng_() % 250};
                 done(std::move(r));
               });
    }
  }
}

void StateStore::txn(Urgency u, wire::Transaction t, Duration deadline, std::function<void(TxnResult)> done) {
  auto writes = static_cast<unsigned>(t.apply.size());
  for (const auto& w : t.apply) ++tally_.changes[w.key.substr(0, w.key.find('/') + 1)];
  HttpRequest r{"POST", "/txn", wire::encodeTransaction(t), false};
  enqueue(u, "txn", std::move(r), writes, deadline, [done = std::move(done)](HttpResult h) {
    TxnResult out;
    using O = TxnResult::Outcome;
    if (h.outcome == HttpResult::Outcome::NotSent) {
      out.outcome = O::Refused;
    } else if (h.outcome == HttpResult::Outcome::Answered) {
      switch (h.response.status) {
        case 200:
          if (auto rev = wire::parseRevision(h.response.body)) out.outcome = O::Ok, out.revision = *rev;
          break;
        case 409:
          out.outcome = O::Conflict;
          out.failed = wire::parseFailed(h.response.body);
          break;
        case 400:
          out.outcome = O::NoHold;
          break;
        case 429:
        case 503:
          out.outcome = O::Refused;
          break;
        default:
          break;
      }
    }
    done(std::move(out));
  });
}

void StateStore::create(wire::Write w, Duration deadline, std::function<void(TxnResult)> done) {
  creations_.push_back({std::move(w), io_.now() + deadline, std::move(done)});
  createBatch();
}

void StateStore::createBatch() {
  if (creating_ || creations_.empty()) return;
  refill();
  // As many as there are changes to spend: a batch that waits for more would be passed by all else.
  auto most = std::min<std::size_t>(settings_.txnOps, static_cast<std::size_t>(std::max(writes_, 0.0)));
  if (most == 0 || io_.now() < pausedUntil_) {
    while (!creations_.empty() && creations_.front().giveUp <= io_.now()) {
      auto c = std::move(creations_.front());
      creations_.pop_front();
      ++tally_.outOfTime;
      c.done({TxnResult::Outcome::Refused, {}, {}});
    }
    if (std::exchange(createSet_, true)) return;
    return io_.after(Duration{20}, [this] {
      createSet_ = false;
      createBatch();
    });
  }
  auto batch = std::make_shared<std::vector<Creation>>();
  wire::Transaction t;
  std::size_t weight = 0;
  auto giveUp = creations_.front().giveUp;
  std::deque<Creation> later;
  while (!creations_.empty()) {
    auto c = std::move(creations_.front());
    creations_.pop_front();
    weight += wire::weightOf(c.write);
    bool full = batch->size() >= most || (!batch->empty() && weight > wire::kMostWeight);
    if (full || t.when.count(c.write.key) > 0) {  // a key may stand in a transaction once
      later.push_back(std::move(c));
      continue;
    }
    giveUp = std::max(giveUp, c.giveUp);
    t.when[c.write.key] = Stamp{0};
    t.apply.push_back(c.write);
    batch->push_back(std::move(c));
  }
  creations_ = std::move(later);
  creating_ = true;
  auto wait = std::min(giveUp - io_.now(), Duration{2'000});
  txn(Urgency::Control, std::move(t), std::max(wait, Duration{1}), [this, batch](TxnResult r) {
    creating_ = false;
    std::set<std::string> failed(r.failed.begin(), r.failed.end());
    std::vector<Creation> again;
    for (auto& c : *batch) {
      bool taken = r.outcome == TxnResult::Outcome::Conflict && failed.count(c.write.key) > 0;
      bool innocent = r.outcome == TxnResult::Outcome::Conflict && !taken && c.giveUp > io_.now();
      if (innocent)
        again.push_back(std::move(c));
      else
        c.done(r);
    }
    for (auto it = again.rbegin(); it != again.rend(); ++it) creations_.push_front(std::move(*it));
    createBatch();
  });
}

void StateStore::get(Urgency u, const std::string& key, Duration deadline,
                     std::function<void(GetResult)> done) {
  enqueue(u, "get", {"GET", "/keys/" + key, "", false}, 0, deadline, [done = std::move(done)](HttpResult h) {
    GetResult out;
    if (h.answered(404)) {
      out.outcome = GetResult::Outcome::Absent;
    } else if (h.answered(200)) {
      if (auto e = wire::parseKey(h.response.body)) {
        out.outcome = GetResult::Outcome::Found;
        out.entry = std::move(*e);
      }
    }
    done(std::move(out));
  });
}

void StateStore::list(Urgency u, const std::string& prefix, std::function<void(ListResult)> done) {
  listFrom(u, prefix, "", std::make_shared<ListResult>(), std::move(done));
}

void StateStore::listFrom(Urgency u, std::string prefix, std::string since, std::shared_ptr<ListResult> sofar,
                          std::function<void(ListResult)> done) {
  std::string path = pathOf(prefix) + "&limit=1000";
  if (!since.empty()) path += "&since=" + since;
  enqueue(u, "list", {"GET", path, "", false}, 0, Duration{3'000},
          [this, u, prefix, sofar, done = std::move(done)](HttpResult h) mutable {
            auto page = h.answered(200) ? wire::parseEntries(h.response.body) : std::nullopt;
            if (!page) return done({});
            if (sofar->entries.empty()) sofar->revision = page->revision;
            bool more = page->truncated && !page->entries.empty();
            std::string last = more ? page->entries.back().key : "";
            std::move(page->entries.begin(), page->entries.end(), std::back_inserter(sofar->entries));
            if (more) return listFrom(u, prefix, last, sofar, std::move(done));
            sofar->ok = true;
            done(std::move(*sofar));
          });
}

void StateStore::openHold(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done) {
  enqueue(Urgency::Hold, "hold",
          {"POST", "/holds", "{\"ttl_ms\":" + std::to_string(ttl.count()) + "}", false}, 0, Duration{1'000},
          [done = std::move(done)](HttpResult h) {
            done(h.answered(200) ? wire::parseHold(h.response.body) : std::nullopt);
          });
}

void StateStore::renewHold(std::uint64_t hold, Duration deadline, std::function<void(Renewal)> done) {
  enqueue(Urgency::Hold, "hold", {"POST", "/holds/" + std::to_string(hold) + "/renew", "{}", false}, 0,
          deadline, [done = std::move(done)](HttpResult h) {
            done(h.answered(200) ? Renewal::Good : h.answered(404) ? Renewal::Gone : Renewal::NoAnswer);
          });
}

void StateStore::mirror(const std::string& prefix, Changed changed) {
  mirrors_.push_back(std::make_unique<Mirror>());
  auto& m = *mirrors_.back();
  m.prefix = prefix;
  m.changed = std::move(changed);
  readAll(m);
}

bool StateStore::mirrored() const {
  return std::all_of(mirrors_.begin(), mirrors_.end(), [](const auto& m) { return m->read; });
}

void StateStore::retry(Mirror& m) {
  m.backoff = std::min(std::max(m.backoff * 2, Duration{100}), Duration{1'000});
  io_.after(m.backoff + Duration{rng_() % 100}, [this, &m, round = m.round] {
    if (round != m.round) return;
    if (m.read)
      follow(m);
    else
      readAll(m);
  });
}

const StateStore::Mirror* StateStore::find(const std::string& prefix) const {
  auto it =
      std::find_if(mirrors_.begin(), mirrors_.end(), [&](const auto& m) { return m->prefix == prefix; });
  return it == mirrors_.end() ? nullptr : it->get();
}

Time StateStore::freshAt(const std::string& prefix) const {
  const auto* m = find(prefix);
  return m ? m->fresh : Time{};
}

Stamp StateStore::revisionOf(const std::string& prefix) const {
  const auto* m = find(prefix);
  return m ? m->revision : Stamp{};
}

void StateStore::readAll(Mirror& m) {
  auto round = ++m.round;
  list(Urgency::Control, m.prefix, [this, &m, round, asked = io_.now()](ListResult r) {
    if (round != m.round) return;
    if (!r.ok) return retry(m);
    m.backoff = Duration{0};
    if (r.revision < m.revision) {  // an answer that covers more has overtaken it
      m.read = true;
      return follow(m);
    }
    std::set<std::string> present;
    for (const auto& e : r.entries) {
      present.insert(e.key);
      auto& stamp = m.known[e.key];
      if (e.stamp <= stamp) continue;
      stamp = e.stamp;
      m.changed(e);
    }
    // Keys that went while no watch was open.
    for (auto it = m.known.begin(); it != m.known.end();) {
      if (present.count(it->first) == 0) {
        wire::KeyChange gone{it->first, std::nullopt, r.revision};
        it = m.known.erase(it);
        m.changed(gone);
      } else {
        ++it;
      }
    }
    m.revision = r.revision;
    m.fresh = std::max(m.fresh, asked);
    m.read = true;
    follow(m);
  });
}

void StateStore::follow(Mirror& m) {
  auto round = ++m.round;
  std::string path = "/follow?prefix=" + m.prefix + "&since=" + std::to_string(m.revision.value) +
                     "&wait_ms=" + std::to_string(kFollow.count());
  enqueue(Urgency::Control, "follow", {"GET", path, "", false}, 0, kFollowDeadline,
          [this, &m, round, asked = io_.now()](HttpResult r) {
            if (round != m.round) return;
            followed(m, asked, r);
          });
}

void StateStore::apply(Mirror& m, Time asked, const wire::KeyPage& news) {
  for (const auto& e : news.entries) {
    // Answers overtake each other: what an earlier one covered is in view, and may be gone again since.
    if (e.stamp <= m.revision) continue;
    if (e.value) {
      auto& stamp = m.known[e.key];
      if (e.stamp <= stamp) continue;
      stamp = e.stamp;
    } else {
      auto it = m.known.find(e.key);
      if (it == m.known.end() || it->second > e.stamp) continue;
      m.known.erase(it);
    }
    m.changed(e);
  }
  m.revision = std::max(m.revision, news.revision);
  m.fresh = std::max(m.fresh, asked);
}

void StateStore::followed(Mirror& m, Time asked, const HttpResult& r) {
  if (r.answered(410)) {
    m.read = false;
    return readAll(m);
  }
  auto news = r.answered(200) ? wire::parseNews(r.response.body) : std::nullopt;
  if (!news) return retry(m);
  m.backoff = Duration{0};
  apply(m, asked, *news);
  follow(m);
}

void StateStore::catchUp(const std::string& prefix, std::function<void(bool)> done) {
  for (auto& p : mirrors_) {
    auto& m = *p;
    if (m.prefix != prefix) continue;
    if (!m.read) return done(false);
    std::string path =
        "/follow?prefix=" + m.prefix + "&since=" + std::to_string(m.revision.value) + "&wait_ms=0";
    enqueue(Urgency::Control, "follow", {"GET", path, "", false}, 0, Duration{2'000},
            [this, &m, asked = io_.now(), done = std::move(done)](HttpResult r) {
              auto news = r.answered(200) ? wire::parseNews(r.response.body) : std::nullopt;
              if (!news) {
                if (r.answered(410) && m.read) {
                  m.read = false;
                  readAll(m);
                }
                return done(false);
              }
              apply(m, asked, *news);
              done(true);
            });
    return;
  }
  done(false);
}

void StateStore::restartWatches() {
  for (auto& m : mirrors_) {
    if (m->read)
      follow(*m);
    else
      readAll(*m);
  }
}

}  // namespace cherryloft
