// The limits of a transaction: a write too many, or too large a body, would be refused by the state service.
#include "kvstore/transaction_builder.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

wire::Write writeOf(const std::string& key, std::size_t bytes) { return {key, std::string(bytes, 'x'), {}}; }

TEST(TransactionBuilder, TakesAsManyWritesAsAllowed) {
  TransactionBuilder draft(2);
  EXPECT_TRUE(draft.empty());
  EXPECT_TRUE(draft.add(writeOf("a", 10), Version{1}));
  EXPECT_TRUE(draft.add(writeOf("b", 10), Version{2}));
  EXPECT_FALSE(draft.hasRoom(10));
  EXPECT_FALSE(draft.add(writeOf("c", 10), Version{3}));
  auto transaction = draft.take();
  EXPECT_EQ(transaction.operations.size(), 2U);
  EXPECT_EQ(transaction.conditions.size(), 2U);
  EXPECT_EQ(transaction.conditions.count("c"), 0U);
}

TEST(TransactionBuilder, StaysWithinTheWeightButForTheFirst) {
  TransactionBuilder draft(8);
  EXPECT_TRUE(draft.add(writeOf("a", 2 * wire::kMostWeight), Version{1}));
  EXPECT_FALSE(draft.add(writeOf("b", 1), Version{1}));
  TransactionBuilder second(8);
  EXPECT_TRUE(second.add(writeOf("a", wire::kMostWeight / 2), Version{1}));
  EXPECT_FALSE(second.add(writeOf("b", wire::kMostWeight / 2), Version{1}));
  EXPECT_TRUE(second.add(writeOf("c", wire::kMostWeight / 4), Version{1}));
}

TEST(TransactionBuilder, RequiresVersionsOfKeysThatItDoesNotWrite) {
  TransactionBuilder draft(8);
  draft.require("share/0", Version{7});
  EXPECT_TRUE(draft.empty());
  EXPECT_EQ(draft.take().conditions.at("share/0"), Version{7});
}

}  // namespace
}  // namespace cherryloft
