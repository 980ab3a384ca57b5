#include "controller/machine_probes.h"

namespace cherryloft {
namespace {
constexpr Duration kProbeTimeout{2'000};
constexpr Duration kRelayMargin{500};  // lets the peer's own timeout expire first
}  // namespace

void MachineProbes::probeDirectly(const std::string& address, HttpCallback done) const {
  try {
    runtime_.call(parseAddress(address), {"GET", "/show", "", false}, kProbeTimeout, std::move(done));
  } catch (const SettingsError&) {
    done({});
  }
}

void MachineProbes::probeThroughPeers(const std::string& address,
                                      const std::function<void(const std::string& body)>& done) const {
  for (const auto& sibling : settings_.siblings) {
    if (!peers_.receivesFrom(peers_.numberOf(sibling.controller))) continue;
    peers_.sendRequest(sibling.controller, mesh::ProbeRequest{0, address}, kProbeTimeout + kRelayMargin,
                       [done](const mesh::Answer* answer) {
                         if (answer && answer->status == 200) done(answer->body);
                       });
  }
}

}  // namespace cherryloft
