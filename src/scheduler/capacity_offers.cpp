#include "scheduler/capacity_offers.h"

#include <algorithm>
#include <utility>

namespace cherryloft {
namespace {

bool expired(Time receivedAt, Time now) { return now - receivedAt > kCapacityOfferLifetime; }

}  // namespace

std::optional<Zone> zoneFromMessage(const std::string& name) {
  return name.empty() ? std::nullopt : std::optional(Zone{name});
}

void JobCapacityOffers::add(const JobId& job, const ReceivedCapacityOffer& offer) {
  if (offer.tasks == 0) return;
  auto& best = best_[job];
  if (offer.tasks > best.tasks) best = offer;
}

void JobCapacityOffers::dropExpired(Time now) {
  std::erase_if(best_, [&](const auto& entry) { return expired(entry.second.receivedAt, now); });
}

std::optional<ReceivedCapacityOffer> JobCapacityOffers::best(const JobId& job) const {
  auto found = best_.find(job);
  return found == best_.end() ? std::nullopt : std::optional(found->second);
}

void TaskCapacityOffers::add(const JobId& job, ReceivedTaskOffer offer) {
  auto& offers = offers_[job];
  std::erase_if(offers, [&](const ReceivedTaskOffer& earlier) { return earlier.shard == offer.shard; });
  offers.push_back(std::move(offer));
}

void TaskCapacityOffers::dropExpired(Time now) {
  std::erase_if(offers_, [&](const auto& entry) { return expired(entry.second.front().receivedAt, now); });
}

std::vector<ReceivedTaskOffer> TaskCapacityOffers::take(const JobId& job, Time now) {
  auto found = offers_.find(job);
  if (found == offers_.end()) return {};
  auto offers = std::move(found->second);
  offers_.erase(found);
  std::erase_if(offers, [&](const ReceivedTaskOffer& offer) { return expired(offer.receivedAt, now); });
  std::stable_sort(offers.begin(), offers.end(),
                   [](const ReceivedTaskOffer& first, const ReceivedTaskOffer& second) {
                     return first.tasks > second.tasks;
                   });
  return offers;
}

}  // namespace cherryloft
