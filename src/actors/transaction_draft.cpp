#include "actors/transaction_draft.h"

namespace cherryloft {

bool TransactionDraft::hasRoom(std::size_t bytes) const {
  return transaction_.apply.size() < mostWrites_ && (empty() || bytes_ + bytes <= wire::kMostWeight);
}

bool TransactionDraft::add(wire::Write write, Version version) {
  auto bytes = wire::weightOf(write);
  if (!hasRoom(bytes)) return false;
  bytes_ += bytes;
  transaction_.when[write.key] = version;
  transaction_.apply.push_back(std::move(write));
  return true;
}

}  // namespace cherryloft
