// Writes a machine group's record anew within the limits of the state service.
//
// A record that was written under a larger limit may have outgrown a value: what does not fit goes to new
// groups in the same transaction, which readers see as machines that moved from one group to another.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "actors/transaction_draft.h"
#include "wire/store.h"

namespace cherryloft {

// Whether a key of the machine groups exists, as far as is known.
using GroupExists = std::function<bool(const std::string& key)>;

// The members in the order given, parted so that each part's record fits a value.
std::vector<wire::GroupRecord> splitToFit(const wire::GroupRecord& group, std::size_t valueBytes);

// The writes that put the group under its key, on condition of its version; without members the key is
// dropped.
std::vector<VersionedWrite> rewriteGroup(const std::string& key, Version version,
                                         const wire::GroupRecord& group, std::size_t valueBytes,
                                         const GroupExists& exists);

// The writes that create the group, under keys that are free. They must stand in a transaction with a
// condition that fails once it was carried out, as the absence of a key does not tell that it was never
// there.
std::vector<VersionedWrite> createGroup(const wire::GroupRecord& group, std::size_t valueBytes,
                                        const GroupExists& exists);

}  // namespace cherryloft
