// Writes a machine group's record anew within the limits of the state service.
//
// A record that was written under a larger limit may have outgrown a value. Its last members then go to new
// groups first, in a transaction of their own that leaves the group as it is: readers take the newer of two
// records of a machine, so that at no moment a machine is without one. From then on the group's own record
// fits, and is written without them.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kvstore/transaction_builder.h"
#include "wire/records.h"

namespace cherryloft {

// How long a group whose members went to new ones must not be written anew: whoever is reading all groups,
// key after key, has seen the new ones by then.
inline constexpr Duration kSplitSettles{5'000};

// Whether a key of the machine groups exists, as far as is known.
using GroupExists = std::function<bool(const std::string& key)>;

struct MachineGroupRewrite {
  std::vector<VersionedWrite> writes;
  bool splits = false;  // only new groups for some members: the group itself is to be written later
};

// The members in the order given, parted so that each part's record fits a value.
std::vector<wire::GroupRecord> splitToFit(const wire::GroupRecord& group, std::size_t valueBytes);

// What puts the group under its key, on condition of its version; without members the key is dropped. If the
// group has outgrown a value: what creates new groups for those of its members that do not fit, as many as
// one transaction takes. The transaction must require the group's version then.
MachineGroupRewrite rewriteGroup(const std::string& key, Version version, const wire::GroupRecord& group,
                                 std::size_t valueBytes, std::size_t mostWrites, const GroupExists& exists);

// What creates the group, under keys that are free. It must stand in a transaction with a condition that
// fails once it was carried out, as the absence of a key does not tell that it was never there.
std::vector<VersionedWrite> createGroup(const wire::GroupRecord& group, std::size_t valueBytes,
                                        const GroupExists& exists);

// Groups whose last members were given groups of their own, and that stay as they are for a while.
class MachineGroupSplits {
 public:
  bool settling(const std::string& key, Time now);
  // Adds the rewrite of the group with that version to the transaction. False, and nothing is added, if it
  // does not fit.
  bool add(TransactionBuilder& transaction, const std::string& key, Version version,
           const MachineGroupRewrite& rewrite, Time now);

 private:
  std::map<std::string, Time> since_;
};

}  // namespace cherryloft
