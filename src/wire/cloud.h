// The cloud's side of the protocol.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::wire {

// Nothing when the body is no catalog or names no type.
std::optional<Catalog> parseCatalog(const std::string& body);
std::string encodeCatalog(const Catalog& catalog);

// So many machines of a type in a zone. `idempotencyKey`: an idempotency key, by which a repeated request is
// known.
struct ProvisionRequest {
  std::string idempotencyKey;
  std::string type;
  Zone zone;
  bool spot = false;
  unsigned count = 1;
};
std::string encodeProvisionRequest(const ProvisionRequest& request);
std::string encodeReturnRequest(const std::vector<MachineId>& machines);
// The names in the answer to a provision request.
std::optional<std::vector<MachineId>> parseProvisioned(const std::string& body);

// A machine as the cloud lists it; `secondsSinceRequest`: seconds since it was requested.
struct ListedMachine {
  enum class State : std::uint8_t { Starting, Running, Failed };
  MachineId id;
  std::string address;
  std::string type;
  Zone zone;
  bool spot = false;
  State state = State::Starting;
  double secondsSinceRequest = 0;
};
// A part of the list; truncated: there is more after the last one.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool truncated = false;
};
std::optional<MachinePage> parseMachines(const std::string& body);

}  // namespace cherryloft::wire
