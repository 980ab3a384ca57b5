// Rewrites the record of a machine group within the limits of the state service.
//
// A record that was written under a larger limit may have outgrown a value. It is then rewritten in two
// steps:
//
//   1. Split: its last members get new groups, in a transaction that leaves the group itself as it is.
//   Readers
//      take the newer of two records of a machine, so that at no moment a machine is without one.
//   2. Once every reader has seen the new groups (MachineGroupSplits), the group's own record is written
//      without these members, and fits.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kvstore/transaction_builder.h"
#include "wire/records.h"

namespace cherryloft {

// Whether a key of the machine groups exists, as far as is known.
using GroupExists = std::function<bool(const std::string& key)>;

struct MachineGroupRewrite {
  std::vector<VersionedWrite> writes;
  // A split: the writes only create groups for some members, the group itself is to be written later.
  bool splits = false;
};

// Splits a group into parts whose records fit a value of that many bytes, members in the order given. A part
// has one member at least, whatever its size. No parts if there are no members.
[[nodiscard]] std::vector<wire::MachineGroupRecord> splitToFit(const wire::MachineGroupRecord& group,
                                                               std::size_t maxValueBytes);

// The writes that put the group under its key, on condition of its version; without members they drop the
// key. If the group has outgrown a value: those that create new groups for the members that do not fit, at
// most `mostWrites`; their transaction must require the group's version (MachineGroupSplits::add does).
[[nodiscard]] MachineGroupRewrite rewriteGroup(const std::string& key, Version version,
                                               const wire::MachineGroupRecord& group,
                                               std::size_t maxValueBytes, std::size_t mostWrites,
                                               const GroupExists& exists);

// The writes that create the group, in as many parts as it takes, under keys that are free. Their transaction
// must have a condition that fails once it was carried out, as the absence of a key does not tell that it was
// never there.
[[nodiscard]] std::vector<VersionedWrite> createGroup(const wire::MachineGroupRecord& group,
                                                      std::size_t maxValueBytes, const GroupExists& exists);

// Remembers which groups were split, so that they are not rewritten before every reader has seen the new
// ones.
class MachineGroupSplits {
 public:
  // Whether the group was split too recently to be rewritten. Forgets splits that are old enough.
  [[nodiscard]] bool settling(const std::string& key, Time now);
  // Adds the rewrite of the group with that version to the transaction, and notes a split. False, and nothing
  // is added or noted, if it does not fit.
  [[nodiscard]] bool add(TransactionBuilder& transaction, const std::string& key, Version version,
                         const MachineGroupRewrite& rewrite, Time now);

 private:
  std::map<std::string, Time> splitAt_;
};

}  // namespace cherryloft
