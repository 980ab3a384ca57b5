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
std::string encodeReturn(const std::vector<MachineId>& machines);
// The names in the answer to a rental.
std::optional<std::vector<MachineId>> parseRented(const std::string& body);

struct ListedMachine {
  enum class State : std::uint8_t { Starting, Running, Failed };
  MachineId id;
  std::string address;
  std::string type;
  Zone zone;
  bool spot = false;
  State state = State::Starting;
  double heldS = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool truncated = false;
};
std::optional<MachinePage> parseMachines(const std::string& body);

}  // namespace cherryloft::wire
