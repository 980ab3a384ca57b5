// Rewrites the record of a machine group within the limits of the state service.
//
// A record that was written under a larger limit may exceed the current maximum value size. It is then
// rewritten in two steps:
//
//   1. Split: the last members are copied to new groups, in a transaction that does not change the group
//      itself. Readers use the newer of two records of a machine, so every machine always has one.
//   2. Once every reader has seen the new groups (MachineGroupSplits), the group's own record is rewritten
//      without these members and fits the limit.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kvstore/transaction_builder.h"
#include "wire/records.h"

namespace cherryloft {

// Whether a machine group with that key is known to exist.
using GroupExists = std::function<bool(const std::string& key)>;

struct MachineGroupRewrite {
  std::vector<ConditionalWrite> writes;
  // The writes only create groups for some members; the group itself is rewritten later.
  bool splits = false;
};

// Splits a group into parts whose records fit into `maxValueBytes`, keeping the order of members. A part has
// at least one member, whatever its size. Returns no parts if there are no members.
[[nodiscard]] std::vector<wire::MachineGroupRecord> splitToFit(const wire::MachineGroupRecord& group,
                                                               std::size_t maxValueBytes);

// Returns the writes that store the group under its key on condition of its version, or delete the key if the
// group has no members. If the record exceeds the maximum value size, returns at most `maxWrites` writes that
// create new groups for the members that do not fit; their transaction must be conditional on the group's
// version (MachineGroupSplits::add adds that condition).
[[nodiscard]] MachineGroupRewrite rewriteGroup(const std::string& key, Version version,
                                               const wire::MachineGroupRecord& group,
                                               std::size_t maxValueBytes, std::size_t maxWrites,
                                               const GroupExists& exists);

// Returns the writes that create the group under free keys, in as many parts as needed. Their transaction
// must have a condition that fails once it has been executed: a key that does not exist may have been created
// and deleted since.
[[nodiscard]] std::vector<ConditionalWrite> groupCreationWrites(const wire::MachineGroupRecord& group,
                                                                std::size_t maxValueBytes,
                                                                const GroupExists& exists);

// Tracks recently split groups, so that they are not rewritten before every reader has seen the new groups.
class MachineGroupSplits {
 public:
  // Whether the group was split too recently to be rewritten. Removes the entry of an older split.
  [[nodiscard]] bool recentlySplit(const std::string& key, Time now);
  // Adds the rewrite of the group with that version to the transaction and records a split. Returns false,
  // without any effect, if the rewrite does not fit.
  [[nodiscard]] bool add(TransactionBuilder& transaction, const std::string& key, Version version,
                         const MachineGroupRewrite& rewrite, Time now);

 private:
  std::map<std::string, Time> splitAt_;
};

}  // namespace cherryloft
