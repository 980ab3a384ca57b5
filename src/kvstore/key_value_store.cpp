#include "kvstore/key_value_store.h"

#include <algorithm>
#include <cmath>

namespace cherryloft {
namespace {

constexpr double kShortOfChanges = 0.6;  // of a second's changes; with fewer left, they are short
constexpr std::size_t kUnhurriedPart = 3;
constexpr std::size_t kLeastUnhurried = 2;
constexpr double kLeastRate = 0.1;  // changes per second, to divide by
// Changes that pass between two transactions of work while changes are short.
constexpr double kForWork = 2.5;
constexpr double kMostWorkS = 1;         // between two transactions of work
constexpr double kForCreations = 0.5;    // the part of the changes that creations get at least, about
constexpr double kCreationsWaitS = 1.5;  // a creation that would wait longer is not taken

}  // namespace

KeyValueStore::KeyValueStore(const Settings& settings, Runtime& runtime, Log log, std::uint64_t seed)
    : settings_(settings),
      runtime_(runtime),
      log_(std::move(log)),
      rng_(seed),
      budget_(settings, runtime.now()),
      queue_(settings, runtime, budget_, tally_, rng_),
      client_(queue_, tally_),
      creations_(settings, runtime, client_, budget_, tally_) {}

bool KeyValueStore::crowded() const {
  return budget_.changes() < kShortOfChanges * budget_.changesPerSecond() || creations_.waiting() > 0;
}

std::size_t KeyValueStore::unhurried() const {
  return crowded() ? std::max(settings_.txnOps / kUnhurriedPart, kLeastUnhurried) : settings_.txnOps;
}

Duration KeyValueStore::workEvery() const {
  return seconds(std::min(kForWork / std::max(budget_.changesPerSecond(), kLeastRate), kMostWorkS));
}

std::optional<int> KeyValueStore::creationsBackedUp() const {
  double rate = std::max(budget_.changesPerSecond() * kForCreations, kLeastRate);
  double waitS = static_cast<double>(creations_.waiting()) / rate;
  if (waitS <= kCreationsWaitS) return std::nullopt;
  return static_cast<int>(std::ceil(waitS));
}

void KeyValueStore::txn(Urgency u, const wire::Transaction& t, Duration deadline,
                        std::function<void(TxnResult)> done) {
  client_.txn(u, t, deadline, std::move(done));
}

void KeyValueStore::create(wire::Write w, Duration deadline, std::function<void(TxnResult)> done) {
  creations_.create(std::move(w), deadline, std::move(done));
}

void KeyValueStore::get(Urgency u, const std::string& key, Duration deadline,
                        std::function<void(GetResult)> done) {
  client_.get(u, key, deadline, std::move(done));
}

void KeyValueStore::list(Urgency u, const std::string& prefix, std::function<void(ListResult)> done) {
  client_.list(u, prefix, std::move(done));
}

void KeyValueStore::openHold(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done) {
  client_.openHold(ttl, std::move(done));
}

void KeyValueStore::renewHold(std::uint64_t hold, Duration deadline, std::function<void(Renewal)> done) {
  client_.renewHold(hold, deadline, std::move(done));
}

void KeyValueStore::mirror(const std::string& prefix, Changed changed) {
  mirrors_.push_back(std::make_unique<Mirror>(runtime_, client_, rng_, prefix, std::move(changed)));
  mirrors_.back()->restart();
}

bool KeyValueStore::mirrored() const {
  return std::all_of(mirrors_.begin(), mirrors_.end(), [](const auto& m) { return m->read(); });
}

Mirror* KeyValueStore::find(const std::string& prefix) const {
  auto it =
      std::find_if(mirrors_.begin(), mirrors_.end(), [&](const auto& m) { return m->prefix() == prefix; });
  return it == mirrors_.end() ? nullptr : it->get();
}

Time KeyValueStore::freshAt(const std::string& prefix) const {
  const auto* mirror = find(prefix);
  return mirror ? mirror->freshAt() : Time{};
}

Version KeyValueStore::revisionOf(const std::string& prefix) const {
  const auto* mirror = find(prefix);
  return mirror ? mirror->revision() : Version{};
}

void KeyValueStore::catchUp(const std::string& prefix, std::function<void(bool)> done) {
  auto* mirror = find(prefix);
  if (!mirror) return done(false);
  mirror->catchUp(std::move(done));
}

void KeyValueStore::restartWatches() {
  for (auto& mirror : mirrors_) mirror->restart();
}

}  // namespace cherryloft
