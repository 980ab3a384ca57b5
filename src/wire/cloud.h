// The cloud's side of the protocol.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::wire {

std::optional<Catalog> parseCatalog(const std::string& body);
std::string encodeCatalog(const Catalog& catalog);

struct Rental {
  std::string claim;
  std::string type;
  Zone zone;
  bool spot = false;
  unsigned count = 1;
};
std::string encodeRental(const Rental& r);
std::string encodeReturn(const std::vector<HostId>& hosts);
// The names in the answer to a rental.
std::optional<std::vector<HostId>> parseRented(const std::string& body);

struct ListedHost {
  enum class State : std::uint8_t { Starting, Running, Failed };
  HostId id;
  std::string address;
  std::string type;
  Zone zone;
  bool spot = false;
  State state = State::Starting;
  double heldS = 0;
};
struct HostPage {
  std::vector<ListedHost> hosts;
  bool truncated = false;
};
std::optional<HostPage> parseHosts(const std::string& body);

}  // namespace cherryloft::wire
