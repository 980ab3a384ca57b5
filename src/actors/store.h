// StateStore: the only way to the state service. It keeps within this controller's part of the request
// budget, urgent things first, groups small writes, and follows prefixes.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "actors/io.h"
#include "config/settings.h"
#include "log/log.h"
#include "wire/store.h"

namespace cherryloft {

enum class Urgency : std::uint8_t { Hold, Control, Work, User, Count };

struct TxnResult {
  enum class Outcome : std::uint8_t {
    Ok,
    Conflict,  // not executed, failed names the keys
    NoHold,    // not executed, the hold is gone
    Refused,   // not executed
    Unknown,   // may have been executed, or may be yet
  };
  Outcome outcome = Outcome::Unknown;
  Stamp revision;
  std::vector<std::string> failed;
  bool ok() const { return outcome == Outcome::Ok; }
};

struct ListResult {
  bool ok = false;
  std::vector<wire::KeyChange> entries;
  Stamp revision;  // of the first page
};

struct GetResult {
  enum class Outcome : std::uint8_t { Found, Absent, Failed };
  Outcome outcome = Outcome::Failed;
  wire::KeyChange entry;
};

class StateStore {
 public:
  using Changed = std::function<void(const wire::KeyChange&)>;

  StateStore(const Settings& settings, Io& io, Log log, std::uint64_t seed);

  void txn(Urgency u, wire::Transaction t, Duration deadline, std::function<void(TxnResult)> done);
  // This controller's part of the limits, as the load of all is not parted equally.
  void part(double p) { part_ = p; }
  // Changes are short: what can wait should come in fewer and wider transactions.
  bool crowded() const;
  // How many changes a transaction should make that need not come soon, so that others have their turn soon.
  std::size_t unhurried() const;
  // The time between two transactions of work that leaves room for everything else.
  Duration workEvery() const;
  // Seconds until one more creation would have its turn, if that is longer than anyone should wait.
  std::optional<int> creationsBackedUp() const;
  // Creates one key that must not exist yet, together with others that come in the meantime.
  void create(wire::Write w, Duration deadline, std::function<void(TxnResult)> done);
  void get(Urgency u, const std::string& key, Duration deadline, std::function<void(GetResult)> done);
  void list(Urgency u, const std::string& prefix, std::function<void(ListResult)> done);

  void openHold(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);
  enum class Renewal : std::uint8_t { Good, Gone, NoAnswer };
  void renewHold(std::uint64_t hold, Duration deadline, std::function<void(Renewal)> done);

  // Mirrors a prefix for ever: changed is told every key at first and each change after that, in order.
  void mirror(const std::string& prefix, Changed changed);
  bool mirrored() const;  // every prefix was read once
  // Calls done once the mirror of the prefix shows at least all that was committed before this call.
  void catchUp(const std::string& prefix, std::function<void(bool)> done);
  // All that was committed under the prefix before that moment shows in its mirror.
  Time freshAt(const std::string& prefix) const;
  // The mirror of the prefix shows every change up to that revision.
  Stamp revisionOf(const std::string& prefix) const;
  // What was asked of the service, by purpose, since the last call.
  struct Tally {
    std::map<std::string, std::uint64_t> requests, changes;
    std::uint64_t refused = 0;  // 429
    std::uint64_t outOfTime = 0;
  };
  Tally takeTally() { return std::exchange(tally_, {}); }
  // The service is back after a silence: begin all watches anew.
  void restartWatches();

 private:
  struct Queued {
    const char* purpose = "";
    HttpRequest request;
    unsigned writes = 0;
    Time giveUp;
    HttpDone done;
  };
  struct Mirror {
    std::string prefix;
    Changed changed;
    std::map<std::string, Stamp> known;
    Stamp revision;
    Time fresh{};  // when the latest request that was answered was made
    bool read = false;
    std::uint64_t round = 0;  // answers of earlier rounds are stale
    Duration backoff{0};
  };
  struct Creation {
    wire::Write write;
    Time giveUp;
    std::function<void(TxnResult)> done;
  };

  void enqueue(Urgency u, const char* purpose, HttpRequest r, unsigned writes, Duration deadline,
               HttpDone done);
  void pump();
  void refill();
  void listFrom(Urgency u, std::string prefix, std::string since, std::shared_ptr<ListResult> sofar,
                std::function<void(ListResult)> done);
  void readAll(Mirror& m);
  void follow(Mirror& m);
  const Mirror* find(const std::string& prefix) const;
  void followed(Mirror& m, Time asked, const HttpResult& r);
  void apply(Mirror& m, Time asked, const wire::KeyPage& news);
  void retry(Mirror& m);
  void createBatch();
  double rps() const;
  double wps() const;

  const Settings& settings_;
  Io& io_;
  Log log_;
  std::mt19937_64 rng_;
  std::array<std::deque<Queued>, static_cast<std::size_t>(Urgency::Count)> queues_;
  double part_;
  double requests_ = 0, writes_ = 0;
  Time refilled_;
  Time pausedUntil_{};
  bool pumpSet_ = false;
  std::vector<std::unique_ptr<Mirror>> mirrors_;
  Tally tally_;
  std::deque<Creation> creations_;
  bool creating_ = false, createSet_ = false;
};

}  // namespace cherryloft
