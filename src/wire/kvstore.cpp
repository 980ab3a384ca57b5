#include "wire/kvstore.h"

#include <algorithm>
#include <numeric>

#include "wire/json.h"

namespace cherryloft::wire {

std::string encodeTransaction(const Transaction& t) {
  // Values are JSON text already: the document is put together by hand so that they are not parsed again.
  std::string out = "{\"when\":[";
  bool first = true;
  for (const auto& [key, version] : t.conditions) {
    if (!first) out += ',';
    first = false;
    out += "{\"path\":" + dump(Json(key)) + ",\"stamp\":" + std::to_string(version.value) + "}";
  }
  out += ']';
  if (!t.operations.empty()) {
    out += ",\"apply\":[";
    first = true;
    for (const auto& w : t.operations) {
      if (!first) out += ',';
      first = false;
      if (w.value) {
        out += "{\"write\":" + dump(Json(w.key)) + ",\"value\":" + *w.value;
        if (w.lease) out += ",\"tenancy\":" + std::to_string(*w.lease);
        out += '}';
      } else {
        out += "{\"drop\":" + dump(Json(w.key)) + "}";
      }
    }
    out += ']';
  }
  return out + "}";
}

std::size_t weightOf(const Write& w) { return 2 * w.key.size() + (w.value ? w.value->size() : 0) + 120; }

std::optional<Version> parseRevision(const std::string& body) {
  auto doc = parse(body);
  auto rev = doc ? countAt(*doc, "ledger_rev") : std::nullopt;
  if (!rev) return std::nullopt;
  return Version{*rev};
}

std::optional<KeyPage> parseEntries(const std::string& body) {
  auto doc = parse(body);
  auto rev = doc ? countAt(*doc, "ledger_rev") : std::nullopt;
  if (!rev) return std::nullopt;
  KeyPage page{{}, flagAt(*doc, "truncated").value_or(false), Version{*rev}};
  for (const auto& e : listAt(*doc, "entries")) {
    auto key = textAt(e, "path");
    auto version = countAt(e, "stamp");
    if (!key || !version || !e.contains("value")) return std::nullopt;
    page.entries.push_back({*key, dump(e.at("value")), Version{*version}});
  }
  return page;
}

std::optional<KeyPage> parseNews(const std::string& body) {
  auto doc = parse(body);
  auto rev = doc ? countAt(*doc, "ledger_rev") : std::nullopt;
  if (!rev) return std::nullopt;
  KeyPage page{{}, false, Version{*rev}};
  for (const auto& e : listAt(*doc, "news")) {
    auto version = countAt(e, "stamp");
    auto write = textAt(e, "write");
    auto drop = textAt(e, "drop");
    if (!version || (!write && !drop) || (write && !e.contains("value"))) return std::nullopt;
    if (write)
      page.entries.push_back({*write, dump(e.at("value")), Version{*version}});
    else
      page.entries.push_back({*drop, std::nullopt, Version{*version}});
  }
  return page;
}

std::optional<KeyChange> parseKey(const std::string& body) {
  auto doc = parse(body);
  if (!doc) return std::nullopt;
  auto key = textAt(*doc, "path");
  auto version = countAt(*doc, "stamp");
  if (!key || !version || !doc->contains("value")) return std::nullopt;
  return KeyChange{*key, dump(doc->at("value")), Version{*version}};
}

std::vector<std::string> parseFailed(const std::string& body) {
  std::vector<std::string> out;
  if (auto doc = parse(body))
    for (const auto& k : listAt(*doc, "failed"))
      if (k.is_string()) out.push_back(k.get<std::string>());
  return out;
}

std::optional<std::uint64_t> parseLeaseId(const std::string& body) {
  auto doc = parse(body);
  return doc ? countAt(*doc, "tenancy") : std::nullopt;
}

namespace {

// Ascending numbers as the first and the last of each run of them.
Json encodeRanges(const std::vector<std::uint32_t>& numbers) {
  Json ranges = Json::array();
  for (std::size_t i = 0; i < numbers.size();) {
    std::size_t last = i;
    while (last + 1 < numbers.size() && numbers[last + 1] == numbers[last] + 1) ++last;
    ranges.push_back({numbers[i], numbers[last]});
    i = last + 1;
  }
  return ranges;
}

std::optional<std::vector<std::uint32_t>> parseRanges(const Json& ranges) {
  std::vector<std::uint32_t> numbers;
  for (const auto& range : ranges) {
    if (!range.is_array() || range.size() != 2 || !range[0].is_number_unsigned() ||
        !range[1].is_number_unsigned())
      return std::nullopt;
    auto last = range[1].get<std::uint32_t>();
    for (auto i = range[0].get<std::uint32_t>(); i <= last; ++i) numbers.push_back(i);
  }
  return numbers;
}

Json encodeDelegation(const Delegation& d) {
  Json j{{"sh", d.shard.value}, {"t", encodeRanges(d.tasks)}};
  if (d.zone) j["zo"] = d.zone->value;
  if (d.attempt) j["try"] = d.attempt->value;
  if (d.recalled) j["back"] = true;
  return j;
}

std::optional<Delegation> parseDelegation(const Json& j) {
  auto shard = countAt(j, "sh");
  auto tasks = parseRanges(listAt(j, "t"));
  if (!shard || !tasks) return std::nullopt;
  Delegation d{ShardId{static_cast<std::uint32_t>(*shard)}, std::nullopt, std::move(*tasks)};
  if (auto zone = textAt(j, "zo")) d.zone = Zone{*zone};
  if (auto attempt = countAt(j, "try")) d.attempt = Attempt{*attempt};
  d.recalled = flagAt(j, "back").value_or(false);
  return d;
}

}  // namespace

std::string encodeJobRecord(const JobRecord& r) {
  Json j{{"st", static_cast<int>(r.status)}, {"sh", r.shard.value}, {"n", r.tasks}};
  if (r.maxConcurrent) j["most"] = *r.maxConcurrent;
  for (const auto& d : r.delegations) j["parts"].push_back(encodeDelegation(d));
  if (!r.doneRemotely.empty()) j["done"] = encodeRanges(r.doneRemotely);
  if (r.spec) {
    const auto& s = *r.spec;
    j["at"] = r.submitted.value;
    Json spec{{"class", s.jobClass},
              {"team", s.team.value},
              {"shape", static_cast<int>(s.kind)},
              {"rank", static_cast<int>(s.priority)},
              {"each", {s.each.cores, s.each.gpus, s.each.ram}},
              {"image", s.image.value},
              {"gb", s.imageGb},
              {"onezone", s.oneZone},
              {"spread", s.spread},
              {"lend", s.spotAllowed},
              {"expect", s.expectedRunSeconds},
              {"every", s.checkpointIntervalSeconds},
              {"save", s.checkpointSeconds}};
    if (s.types) spec["types"] = *s.types;
    if (s.zone) spec["zone"] = s.zone->value;
    if (s.deadlineSeconds) spec["due"] = *s.deadlineSeconds;
    j["spec"] = std::move(spec);
  }
  return dump(j);
}

std::string encodeWithin(JobRecord cancelled, std::size_t valueBytes) {
  auto value = encodeJobRecord(cancelled);
  if (value.size() <= valueBytes || !cancelled.spec) return value;
  // Nothing of it is placed any more: only what its tasks take is still asked for.
  cancelled.spec->jobClass.clear();
  cancelled.spec->image.value.clear();
  cancelled.spec->types.reset();
  value = encodeJobRecord(cancelled);
  if (value.size() <= valueBytes) return value;
  for (auto& delegation : cancelled.delegations) {
    auto& tasks = delegation.tasks;
    if (tasks.empty()) continue;
    auto first = tasks.front();
    tasks.resize(tasks.back() - first + 1);
    std::iota(tasks.begin(), tasks.end(), first);
  }
  return encodeJobRecord(cancelled);
}

std::optional<JobRecord> parseJobRecord(const JobId& id, const std::string& value) {
  auto doc = parse(value);
  if (!doc) return std::nullopt;
  auto status = countAt(*doc, "st");
  auto shard = countAt(*doc, "sh");
  auto tasks = countAt(*doc, "n");
  if (!status || *status > 2 || !shard || !tasks) return std::nullopt;
  JobRecord r{static_cast<JobStatus>(*status),
              ShardId{static_cast<std::uint32_t>(*shard)},
              static_cast<std::uint32_t>(*tasks),
              {},
              {},
              {}};
  if (auto most = countAt(*doc, "most")) r.maxConcurrent = static_cast<std::uint32_t>(*most);
  for (const auto& part : listAt(*doc, "parts")) {
    auto delegation = parseDelegation(part);
    if (!delegation) return std::nullopt;
    r.delegations.push_back(std::move(*delegation));
  }
  auto doneRemotely = parseRanges(listAt(*doc, "done"));
  if (!doneRemotely) return std::nullopt;
  r.doneRemotely = std::move(*doneRemotely);
  // An cancelled job keeps its description: what it takes counts until its last task is known gone.
  if (r.status != JobStatus::Open && !doc->contains("spec")) return r;
  auto at = countAt(*doc, "at");
  if (!at || !doc->contains("spec")) return std::nullopt;
  r.submitted = WallTime{static_cast<std::int64_t>(*at)};
  const Json& j = doc->at("spec");
  const Json& each = listAt(j, "each");
  auto priority = countAt(j, "rank");
  auto kind = countAt(j, "shape");
  if (each.size() != 3 || !priority || *priority > 3 || !kind || *kind > 2) return std::nullopt;
  for (const auto& e : each)
    if (!e.is_number()) return std::nullopt;
  JobSpec s;
  s.id = id;
  s.jobClass = textAt(j, "class").value_or("");
  s.team = TeamId{textAt(j, "team").value_or("")};
  s.kind = static_cast<JobKind>(*kind);
  s.priority = static_cast<PriorityClass>(*priority);
  s.tasks = r.tasks;
  s.each = {each[0].get<double>(), each[1].get<double>(), each[2].get<double>()};
  s.image = ImageId{textAt(j, "image").value_or("")};
  s.imageGb = numberAt(j, "gb").value_or(0);
  s.oneZone = flagAt(j, "onezone").value_or(false);
  s.spread = flagAt(j, "spread").value_or(false);
  s.spotAllowed = flagAt(j, "lend").value_or(false);
  s.expectedRunSeconds = numberAt(j, "expect").value_or(0);
  s.checkpointIntervalSeconds = numberAt(j, "every").value_or(0);
  s.checkpointSeconds = numberAt(j, "save").value_or(0);
  if (j.contains("types")) {
    s.types.emplace();
    for (const auto& t : listAt(j, "types"))
      if (t.is_string()) s.types->push_back(t.get<std::string>());
  }
  if (auto z = textAt(j, "zone")) s.zone = Zone{*z};
  s.deadlineSeconds = numberAt(j, "due");
  r.spec = std::move(s);
  return r;
}

namespace {

// The layout of pages and groups. Layout 1 had a key for each part of a job and for each machine.
constexpr std::uint64_t kLayout = 2;

std::optional<Json> parseLayout(const std::string& value) {
  auto doc = parse(value);
  if (!doc || countAt(*doc, "v") != kLayout) return std::nullopt;
  return doc;
}

std::size_t digits(std::uint64_t n) { return std::to_string(n).size(); }

bool parseFacts(const Json& j, JobPlacements& f) {
  auto done = parseRanges(listAt(j, "d"));
  if (!done) return false;
  f.done = std::move(*done);
  for (const auto& p : listAt(j, "p")) {
    if (!p.is_array() || p.size() != 3 || !p[0].is_number_unsigned() || !p[1].is_number_unsigned() ||
        !p[2].is_string())
      return false;
    f.placed.push_back(
        {p[0].get<std::uint32_t>(), Attempt{p[1].get<std::uint64_t>()}, MachineId{p[2].get<std::string>()}});
  }
  return true;
}

}  // namespace

std::size_t weightOfJob(const JobId& job) { return job.value.size() + 20; }
std::size_t weightOfDone(std::uint32_t index) { return 2 * digits(index) + 4; }
std::size_t weightOf(const PlacementEntry& e) {
  return digits(e.index) + digits(e.attempt.value) + e.machine.value.size() + 7;
}

std::string encodePage(const PageRecord& r) {
  Json jobs = Json::object();
  for (const auto& [id, f] : r.jobs) {
    Json placed = Json::array();
    for (const auto& p : f.placed) placed.push_back({p.index, p.attempt.value, p.machine.value});
    Json j = Json::object();
    if (!f.done.empty()) j["d"] = encodeRanges(f.done);
    if (!placed.empty()) j["p"] = std::move(placed);
    jobs[id.value] = std::move(j);
  }
  return dump(Json{{"v", kLayout}, {"j", std::move(jobs)}});
}

std::optional<PageRecord> parsePage(const std::string& value) {
  auto doc = parseLayout(value);
  if (!doc || !doc->contains("j") || !doc->at("j").is_object()) return std::nullopt;
  PageRecord r;
  for (const auto& [id, j] : doc->at("j").items())
    if (!parseFacts(j, r.jobs[JobId{id}])) return std::nullopt;
  return r;
}

std::string encodeGroup(const GroupRecord& r) {
  Json members = Json::array();
  for (const auto& m : r.members) members.push_back({m.id.value, static_cast<int>(m.phase), m.address});
  return dump(Json{{"v", kLayout},
                   {"sh", r.shard.value},
                   {"tk", r.token.value},
                   {"ty", r.type},
                   {"zo", r.zone.value},
                   {"sp", r.spot},
                   {"at", r.since.value},
                   {"m", std::move(members)}});
}

std::optional<GroupRecord> parseGroup(const std::string& value) {
  auto doc = parseLayout(value);
  if (!doc) return std::nullopt;
  auto shard = countAt(*doc, "sh");
  auto token = countAt(*doc, "tk");
  if (!shard || !token) return std::nullopt;
  GroupRecord r{ShardId{static_cast<std::uint32_t>(*shard)},
                Epoch{*token},
                textAt(*doc, "ty").value_or(""),
                Zone{textAt(*doc, "zo").value_or("")},
                flagAt(*doc, "sp").value_or(false),
                WallTime{static_cast<std::int64_t>(countAt(*doc, "at").value_or(0))},
                {}};
  for (const auto& m : listAt(*doc, "m")) {
    if (!m.is_array() || m.size() != 3 || !m[0].is_string() || !m[1].is_number_unsigned() ||
        m[1].get<std::uint64_t>() > 2 || !m[2].is_string())
      return std::nullopt;
    r.members.push_back({MachineId{m[0].get<std::string>()}, static_cast<MachinePhase>(m[1].get<int>()),
                         m[2].get<std::string>()});
  }
  return r;
}

std::size_t membersIn(std::size_t valueBytes) {
  constexpr std::size_t frame = 200, member = 48;
  return std::max<std::size_t>(1, (valueBytes - std::min(valueBytes, frame)) / member);
}

std::string encodeOwnerRecord(const OwnerRecord& r) {
  return dump(Json{{"own", r.owner.value}, {"ep", r.epoch.value}});
}

std::optional<OwnerRecord> parseOwnerRecord(const std::string& value) {
  auto doc = parse(value);
  auto owner = doc ? textAt(*doc, "own") : std::nullopt;
  auto epoch = doc ? countAt(*doc, "ep") : std::nullopt;
  if (!owner || !epoch) return std::nullopt;
  return OwnerRecord{ControllerId{*owner}, Epoch{*epoch}};
}

std::string encodeCounter(Epoch e) { return dump(Json{{"n", e.value}}); }

std::optional<Epoch> parseCounter(const std::string& value) {
  auto doc = parse(value);
  auto n = doc ? countAt(*doc, "n") : std::nullopt;
  if (!n) return std::nullopt;
  return Epoch{*n};
}

}  // namespace cherryloft::wire
