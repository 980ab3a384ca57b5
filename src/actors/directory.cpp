#include "actors/directory.h"

#include <charconv>

#include "wire/cloud.h"

namespace cherryloft {
namespace {

bool under(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

void applyShare(Directory& d, const wire::KeyChange& c, const std::string& name) {
  if (c.key == keys::kEpoch) {
    if (auto e = c.value ? wire::parseCounter(*c.value) : std::nullopt) d.epoch = *e, d.epochStamp = c.stamp;
    return;
  }
  if (c.key == keys::kCatalog) {
    auto catalog = c.value ? wire::parseCatalog(*c.value) : std::nullopt;
    if (catalog) d.catalog = std::move(*catalog), d.catalogStamp = c.stamp;
    return;
  }
  auto owner = c.value ? wire::parseOwnerRecord(*c.value) : std::nullopt;
  if (c.key == keys::kLeader) {
    d.leader.reset();
    if (owner) d.leader = KnownOwner{*owner, c.stamp};
    return;
  }
  ShareNo k;
  auto [p, ec] = std::from_chars(name.data(), name.data() + name.size(), k.value);
  if (ec != std::errc{} || p != name.data() + name.size()) return;
  d.shares.erase(k);
  if (owner) d.shares[k] = KnownOwner{*owner, c.stamp};
}

}  // namespace

void Directory::apply(const wire::KeyChange& c, const Log& log) {
  if (under(c.key, keys::kJobs)) {
    JobId id{c.key.substr(keys::kJobs.size())};
    auto r = c.value ? wire::parseJobRecord(id, *c.value) : std::nullopt;
    if (!r) {
      log->error("unreadable job record {}", id.value);
      return;
    }
    auto& j = jobs[id];
    if (j.stamp > c.stamp || j.status != JobStatus::Open) return;  // terminal is final
    j = {r->status,
         r->share,
         r->tasks,
         r->chunk,
         r->submitted,
         c.stamp,
         r->spec ? std::make_shared<const JobSpec>(std::move(*r->spec)) : nullptr};
  } else if (under(c.key, keys::kHosts)) {
    HostId id{c.key.substr(keys::kHosts.size())};
    auto r = c.value ? wire::parseHost(*c.value) : std::nullopt;
    if (r)
      hosts[id] = {*r, c.stamp};
    else
      hosts.erase(id);
  } else if (under(c.key, keys::kNodes)) {
    NodeId n{c.key.substr(keys::kNodes.size())};
    if (c.value)
      nodes[n] = c.stamp;
    else
      nodes.erase(n);
  } else if (under(c.key, keys::kShares)) {
    applyShare(*this, c, c.key.substr(keys::kShares.size()));
  }
}

}  // namespace cherryloft
