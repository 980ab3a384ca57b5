// Stores the capacity offers that other shards made for jobs of this shard until they are used or expire.
//
// While a shard has jobs that don't fit on its own machines, it sends a request to the owners of all other
// shards once per kCapacityReviewInterval. An offer is valid only for kCapacityOfferLifetime because it
// reserves nothing. These classes perform no I/O and read no clock. Each is owned by one ShardScheduler and
// used only on its thread.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace cherryloft {

// How often a shard requests capacity. Well below the 30 s that a job must wait before capacity is requested
// for it, so that the job moves soon afterwards.
inline constexpr Duration kCapacityReviewInterval{1'000};
// After this time the offered capacity has probably been used by other jobs.
inline constexpr Duration kCapacityOfferLifetime{3'000};
// A shard makes at most one offer per interval, so that it doesn't offer the same free capacity to several
// shards.
inline constexpr Duration kCapacityOfferInterval{1'000};

// Messages represent any zone by an empty name.
std::optional<Zone> zoneFromMessage(const std::string& name);

// Another shard's offer to place up to this many tasks of a job (invariant 17).
struct ReceivedCapacityOffer {
  ShardId shard;
  std::uint32_t tasks = 0;
  Time receivedAt;
};

// The best offer for each job that is to migrate as a whole.
class JobCapacityOffers {
 public:
  // Keeps the offer if it is for more tasks than the one stored. An offer of zero tasks is ignored.
  void add(const JobId& job, const ReceivedCapacityOffer& offer);
  void dropExpired(Time now);
  // The best offer still stored; it may have expired since the last dropExpired().
  [[nodiscard]] std::optional<ReceivedCapacityOffer> best(const JobId& job) const;
  void remove(const JobId& job) { best_.erase(job); }

 private:
  std::map<JobId, ReceivedCapacityOffer> best_;
};

// Another shard's offer to place up to this many of a job's waiting tasks in a zone (invariant 18).
struct ReceivedTaskOffer {
  ShardId shard;
  std::optional<Zone> zone;  // not set: any zone that the job allows
  std::uint32_t tasks = 0;
  Time receivedAt;
};

// The latest offer from each shard for each job of which tasks are to be delegated.
class TaskCapacityOffers {
 public:
  // Replaces an earlier offer from the same shard for the job.
  void add(const JobId& job, ReceivedTaskOffer offer);
  // Drops all offers for a job once the oldest of them has expired.
  void dropExpired(Time now);
  // Whether any offers are stored for the job; they may have expired.
  [[nodiscard]] bool any(const JobId& job) const { return offers_.count(job) > 0; }
  // Removes all offers for the job and returns those that have not expired, largest first; offers of equal
  // size are returned in order of arrival.
  [[nodiscard]] std::vector<ReceivedTaskOffer> take(const JobId& job, Time now);

 private:
  std::map<JobId, std::vector<ReceivedTaskOffer>> offers_;  // in order of arrival
};

}  // namespace cherryloft
