// Results of the operations of the state service. Each names what the caller may conclude, as a request that
// was not answered may have been executed all the same.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/kvstore.h"

namespace cherryloft {

/// The result of a compare-and-swap transaction.
struct TransactionResult {
  enum class Outcome : std::uint8_t {
    /// Executed; `revision` is the version that every key written by it now has.
    Committed,
    /// Not executed: `conflictingKeys` do not have the versions that the conditions ask for.
    Conflict,
    /// Not executed: the lease that a written key should be attached to is gone.
    LeaseExpired,
    /// Not executed, and may be sent again: throttled, the service is unavailable, or it was never sent.
    Refused,
    /// Not executed, and never will be as it is: it exceeds the limits of the service.
    TooLarge,
    /// No usable answer: it may have been executed, or may be yet. Sending the same conditions again tells:
    /// a conflict means that it was executed, or that another writer came first.
    Unknown,
  };
  Outcome outcome = Outcome::Unknown;
  Version revision;
  std::vector<std::string> conflictingKeys;
  [[nodiscard]] bool committed() const { return outcome == Outcome::Committed; }
};

/// All keys under a prefix.
struct ListResult {
  enum class Outcome : std::uint8_t {
    Complete,
    Failed,  // a page was not answered; `entries` is empty
  };
  Outcome outcome = Outcome::Failed;
  std::vector<wire::KeyChange> entries;
  /// The revision of the first page. Later pages may be newer, so watch on from this one.
  Version revision;
  [[nodiscard]] bool complete() const { return outcome == Outcome::Complete; }
};

/// One key.
struct GetResult {
  enum class Outcome : std::uint8_t {
    Found,   // `entry` is valid
    Absent,  // the service says that there is no such key
    Failed,  // no usable answer: nothing is known of the key
  };
  Outcome outcome = Outcome::Failed;
  wire::KeyChange entry;
};

/// The changes under a prefix after a revision.
struct WatchResult {
  enum class Outcome : std::uint8_t {
    Changes,    // `page` is valid, and may be empty
    Compacted,  // the service keeps no changes from so long ago: list the prefix again
    Failed,     // no usable answer: the same watch may be sent again
  };
  Outcome outcome = Outcome::Failed;
  wire::KeyPage page;
};

/// A request for a new lease.
struct LeaseGrant {
  enum class Outcome : std::uint8_t {
    Granted,  // `lease` is valid
    Failed,   // no usable answer. A lease granted unknown to the caller expires by itself.
  };
  Outcome outcome = Outcome::Failed;
  LeaseId lease;
  [[nodiscard]] bool granted() const { return outcome == Outcome::Granted; }
};

/// A request to extend a lease by its time to live.
enum class LeaseRenewal : std::uint8_t {
  Renewed,   // for the time to live, counted from when the request was sent at the earliest
  Expired,   // the lease is gone, and so are the keys attached to it
  NoAnswer,  // it may have been renewed or not; try again
};

/// Whether a watch cache shows all that was committed before it was asked to become current.
enum class CatchUpResult : std::uint8_t {
  Current,
  Failed,  // not loaded yet, or no usable answer: ask again later
};

}  // namespace cherryloft
