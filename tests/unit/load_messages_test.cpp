// Load reports between controllers of different versions.
#include "mesh/load_messages.h"

#include <gtest/gtest.h>

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "mesh/messages.h"

namespace cherryloft::mesh {
namespace {

ShardLoad loadWithDetails() {
  ShardLoad load;
  load.shard = 1;
  load.epoch = 12;
  load.onDemandOnly.waiting = 13;
  load.machines.push_back({"host-1", "m", "a", true, 4, 1.5, true, false, true, false, 61.5});
  auto& details = load.details.emplace();
  details.spotAllowed.used = 7;
  details.machinesVersion = 412;
  details.waiting.push_back({12, 1, 144, {"m"}, true, true, true, 5, 3, {{"a", 2}}});
  return load;
}

std::string encoded(const ShardLoad& load) { return encode({1, 2, load}); }

}  // namespace

TEST(LoadMessages, DetailsRoundTrip) {
  auto frame = decode(encoded(loadWithDetails()));
  ASSERT_TRUE(frame);
  const auto& details = std::get<ShardLoad>(frame->payload).details;
  ASSERT_TRUE(details);
  EXPECT_EQ(details->spotAllowed.used, 7);
  EXPECT_EQ(details->machinesVersion, 412U);
  ASSERT_EQ(details->waiting.size(), 1U);
  EXPECT_EQ(details->waiting[0].ramGb, 144);
  EXPECT_EQ(details->waiting[0].lacking, 3U);
  EXPECT_EQ(details->waiting[0].zones.at(0).tasks, 2U);
}

// Guards against a frame that an earlier version can't read: it would close the connection. Version 0.7.0
// reads the frame by the members that it knows, and no further.
TEST(LoadMessages, AnEarlierVersionReadsAReportWithDetails) {
  std::istringstream bytes(encoded(loadWithDetails()));
  cereal::PortableBinaryInputArchive archive(bytes);
  Frame frame;
  archive(frame);
  const auto& load = std::get<ShardLoad>(frame.payload);
  EXPECT_EQ(load.epoch, 12U);
  EXPECT_EQ(load.onDemandOnly.waiting, 13);
  EXPECT_EQ(load.machines.at(0).machine, "host-1");
}

TEST(LoadMessages, DetailsFollowTheBytesThatAnEarlierVersionSends) {
  auto load = loadWithDetails();
  auto withDetails = encoded(load);
  load.details.reset();
  auto without = encoded(load);
  EXPECT_LT(without.size(), withDetails.size());
  EXPECT_EQ(withDetails.substr(0, without.size()), without);
}

TEST(LoadMessages, AReportOfAnEarlierVersionHasNoDetails) {
  auto load = loadWithDetails();
  load.details.reset();
  auto frame = decode(encoded(load));
  ASSERT_TRUE(frame);
  EXPECT_FALSE(std::get<ShardLoad>(frame->payload).details);
  EXPECT_EQ(std::get<ShardLoad>(frame->payload).onDemandOnly.waiting, 13);
}

TEST(LoadMessages, TruncatedDetailsAreRejected) {
  auto load = loadWithDetails();
  auto bytes = encoded(load);
  load.details.reset();
  for (auto size = encoded(load).size() + 1; size < bytes.size(); ++size)
    EXPECT_FALSE(decode(bytes.substr(0, size)));
}

}  // namespace cherryloft::mesh
