// Results of the operations of the state service. Each states what the caller may conclude, as an unanswered
// request may still have been executed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/kvstore.h"

namespace cherryloft {

/// The result of a compare-and-swap transaction.
struct TransactionResult {
  enum class Outcome : std::uint8_t {
    /// Executed; `revision` is the new version of every key that it wrote.
    Committed,
    /// Not executed: `conflictingKeys` do not have the versions that the conditions require.
    Conflict,
    /// Not executed: the lease to attach a written key to has expired.
    LeaseExpired,
    /// Not executed, may be retried: it was throttled, the service is unavailable, or it was never sent.
    Refused,
    /// Not executed, not retryable: it exceeds the limits of the service.
    TooLarge,
    /// No usable response: it may have been executed, or may still be. Retrying with the same conditions
    /// resolves this: a conflict means that it was executed or that another writer was first.
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
    Failed,  // a page had no usable response; `entries` is empty
  };
  Outcome outcome = Outcome::Failed;
  std::vector<wire::KeyChange> entries;
  /// The revision of the first page. Later pages may be newer, so a watch must start from this revision.
  Version revision;
  [[nodiscard]] bool complete() const { return outcome == Outcome::Complete; }
};

/// One key.
struct GetResult {
  enum class Outcome : std::uint8_t {
    Found,   // `entry` is valid
    Absent,  // the service reports that the key does not exist
    Failed,  // no usable response: nothing is known about the key
  };
  Outcome outcome = Outcome::Failed;
  wire::KeyChange entry;
};

/// The changes under a prefix after a revision.
struct WatchResult {
  enum class Outcome : std::uint8_t {
    Changes,    // `page` is valid, and may be empty
    Compacted,  // changes this old are no longer available: list the prefix again
    Failed,     // no usable response: the watch may be retried
  };
  Outcome outcome = Outcome::Failed;
  wire::KeyPage page;
};

/// The result of a request for a new lease.
struct LeaseGrant {
  enum class Outcome : std::uint8_t {
    Granted,  // `lease` is valid
    Failed,   // no usable response; a lease that was granted nevertheless expires by itself
  };
  Outcome outcome = Outcome::Failed;
  LeaseId lease;
  [[nodiscard]] bool granted() const { return outcome == Outcome::Granted; }
};

/// The result of a request to extend a lease by its time to live.
enum class LeaseRenewal : std::uint8_t {
  Renewed,   // by the time to live, measured from the send time of the request or later
  Expired,   // the lease has expired, and the keys attached to it are deleted
  NoAnswer,  // unknown whether it was renewed; retry
};

/// Whether a watch cache contains everything committed before waitUntilCurrent() was called.
enum class CatchUpResult : std::uint8_t {
  Current,
  Failed,  // not loaded yet, or no usable response: retry later
};

}  // namespace cherryloft
