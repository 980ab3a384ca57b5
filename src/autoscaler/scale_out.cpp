#include "autoscaler/scale_out.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kFirstRefusal{8'000};
constexpr Duration kMostRefusal{30'000};
constexpr std::uint64_t kRefusalJitterMs = 1'000;
constexpr std::uint64_t kSendAgainMs = 500;
constexpr std::uint64_t kSendAgainJitterMs = 500;

policy::Offer offerOf(const wire::Rental& request) { return {request.type, request.zone, request.spot}; }

bool noCapacity(const HttpResult& result) {
  return result.answered(503) && result.response.body.find("no capacity") != std::string::npos;
}

}  // namespace

std::string Rentals::nextClaim() {
  auto epoch = context_.clusterView.leader->record.epoch;
  return "cl-" + context_.settings.controller.value + "-" + std::to_string(epoch.value) + "-" +
         std::to_string(++claims_);
}

void Rentals::start(ShardId shard, const policy::Wish& wish) {
  const auto& offer = wish.offer;
  auto rental = std::make_shared<Rental>();
  rental->request = {nextClaim(), offer.type, offer.zone, offer.spot, wish.count};
  rental->shard = shard;
  rental->cores = wish.cores;
  open_.push_back(rental);
  context_.log->info("renting {} {} in {} for share {} (spot {})", wish.count, offer.type, offer.zone.value,
                     shard.value, offer.spot);
  send(rental);
}

void Rentals::addOrdered(ShardId shard, policy::ShardFleet& fleet) const {
  for (const auto& rental : open_) {
    if (rental->shard != shard) continue;
    const auto& request = rental->request;
    fleet.machines.push_back({request.type, request.zone, request.spot, rental->cores, true, -1});
  }
}

std::set<policy::Offer> Rentals::refused() const {
  std::set<policy::Offer> offers;
  for (const auto& [offer, until] : refusedUntil_)
    if (until > context_.runtime.now()) offers.insert(offer);
  return offers;
}

void Rentals::send(const RentalPtr& rental) {
  context_.callCloud({"POST", "/hosts", wire::encodeRental(rental->request), false},
                     [this, rental](const HttpResult& result) { answered(rental, result); });
}

void Rentals::answered(const RentalPtr& rental, const HttpResult& result) {
  auto machines = result.answered(200) ? wire::parseRented(result.response.body) : std::nullopt;
  if (machines) {
    rented(*rental, *machines);
    close(rental);
  } else if (noCapacity(result)) {
    backOff(offerOf(rental->request));
    close(rental);
  } else if (result.answered(400) || !context_.leadership.active) {
    close(rental);
  } else {
    sendAgain(rental);
  }
}

void Rentals::rented(const Rental& rental, const std::vector<MachineId>& machines) {
  const auto& request = rental.request;
  wire::GroupRecord group{
      rental.shard, Epoch{}, request.type, request.zone, request.spot, context_.runtime.wall(), {}};
  for (const auto& id : machines) group.members.push_back({id, wire::MachinePhase::InUse, ""});
  records_.create(group);
  auto offer = offerOf(request);
  if (machines.size() < request.count)
    refusedUntil_[offer] = context_.runtime.now() + kFirstRefusal;
  else
    refusedFor_.erase(offer);
}

void Rentals::backOff(const policy::Offer& offer) {
  auto& refusedFor = refusedFor_[offer];
  refusedFor = std::clamp(refusedFor * 2, kFirstRefusal, kMostRefusal);
  refusedUntil_[offer] = context_.runtime.now() + refusedFor + Duration{rng_() % kRefusalJitterMs};
}

// Executed or not: the same claim again tells, and never rents twice.
void Rentals::sendAgain(const RentalPtr& rental) {
  context_.runtime.after(Duration{kSendAgainMs + rng_() % kSendAgainJitterMs}, [this, rental] {
    bool open = std::count(open_.begin(), open_.end(), rental) > 0;
    if (context_.leadership.active && open) send(rental);
  });
}

void Rentals::close(const RentalPtr& rental) {
  open_.erase(std::remove(open_.begin(), open_.end(), rental), open_.end());
}

}  // namespace cherryloft
