#include "actors/transaction_draft.h"

namespace cherryloft {

std::size_t TransactionDraft::writes() const { return transaction_.apply.size(); }

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

bool TransactionDraft::addAll(const std::vector<VersionedWrite>& writes) {
  std::size_t bytes = 0;
  for (const auto& [write, _] : writes) bytes += wire::weightOf(write);
  if (transaction_.apply.size() + writes.size() > mostWrites_) return false;
  if (!empty() && bytes_ + bytes > wire::kMostWeight) return false;
  bytes_ += bytes;
  for (const auto& [write, version] : writes) {
    transaction_.when[write.key] = version;
    transaction_.apply.push_back(write);
  }
  return true;
}

}  // namespace cherryloft
