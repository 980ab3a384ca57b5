// Offers of free capacity that other shards made for jobs of this shard, until they are used or expire.
//
// A shard that has jobs its own machines have no free capacity for asks the owners of all other shards once
// in kCapacityReviewInterval. Their offers hold for kCapacityOfferLifetime only, as nothing is reserved for
// them. No I/O and no clock of their own; owned by one ShardScheduler and used on its thread only.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft {

// How often a shard asks for capacity; well below the time after which it does (30 s), so that a job moves
// soon after.
inline constexpr Duration kCapacityReviewInterval{1'000};
// After this the free capacity has likely been used by others.
inline constexpr Duration kCapacityOfferLifetime{3'000};
// A shard makes one offer in this time, so that the same free capacity is not offered to many.
inline constexpr Duration kCapacityOfferInterval{1'000};

// In messages an empty name stands for any zone.
std::optional<Zone> zoneFromMessage(const std::string& name);

// Another shard has free capacity for so many tasks of a job (invariant 17).
struct ReceivedCapacityOffer {
  ShardId shard;
  std::uint32_t tasks = 0;
  Time receivedAt;
};

// The best offer for each job that is to migrate whole.
class JobCapacityOffers {
 public:
  // Kept if it is for more tasks than the one that is known. An offer of none is ignored.
  void add(const JobId& job, const ReceivedCapacityOffer& offer);
  void dropExpired(Time now);
  // The best one that was not dropped or removed; it may have expired since the last dropExpired().
  [[nodiscard]] std::optional<ReceivedCapacityOffer> best(const JobId& job) const;
  void remove(const JobId& job) { best_.erase(job); }

 private:
  std::map<JobId, ReceivedCapacityOffer> best_;
};

// Another shard has free capacity in a zone for so many of a job's waiting tasks (invariant 18).
struct ReceivedTaskOffer {
  ShardId shard;
  std::optional<Zone> zone;  // nothing: the job may use any of its zones
  std::uint32_t tasks = 0;
  Time receivedAt;
};

// The latest offer of each shard for each job whose tasks are to be delegated.
class TaskCapacityOffers {
 public:
  // Replaces an earlier one of the same shard.
  void add(const JobId& job, ReceivedTaskOffer offer);
  // Drops all offers for a job once the earliest of them has expired.
  void dropExpired(Time now);
  // Whether any came since the last take(); they may have expired.
  [[nodiscard]] bool any(const JobId& job) const { return offers_.count(job) > 0; }
  // Removes all offers for the job and returns those that have not expired, the largest first, of equal ones
  // the earliest.
  [[nodiscard]] std::vector<ReceivedTaskOffer> take(const JobId& job, Time now);

 private:
  std::map<JobId, std::vector<ReceivedTaskOffer>> offers_;  // in the order in which they came
};

}  // namespace cherryloft
