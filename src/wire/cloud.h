// Messages exchanged with the cloud provider.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/job.h"

namespace cherryloft::wire {

// Returns nullopt when the body is not a catalog or lists no machine types.
std::optional<Catalog> parseCatalog(const std::string& body);
std::string encodeCatalog(const Catalog& catalog);

// A request for `count` machines of a type in a zone. The cloud recognizes a repeated request by its
// idempotency key.
struct ProvisionRequest {
  std::string idempotencyKey;
  std::string type;
  Zone zone;
  bool spot = false;
  unsigned count = 1;
};
std::string encodeProvisionRequest(const ProvisionRequest& request);
std::string encodeReturnRequest(const std::vector<MachineId>& machines);
// The machines' names, from the response to a provision request.
std::optional<std::vector<MachineId>> parseProvisioned(const std::string& body);

// A machine as listed by the cloud.
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
// One page of the list. truncated: more machines follow after the last one.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool truncated = false;
};
std::optional<MachinePage> parseMachines(const std::string& body);

}  // namespace cherryloft::wire
