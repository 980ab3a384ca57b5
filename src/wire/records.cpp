#include "wire/records.h"

#include <algorithm>
#include <numeric>

#include "wire/json.h"

namespace cherryloft::wire {
namespace {

// Layout version of pages and groups. Layout 1 had one key for each part of a job and for each machine.
constexpr std::uint64_t kLayoutVersion = 2;

// Returns nullopt for another layout version.
std::optional<Json> parseVersioned(const std::string& value) {
  auto document = parse(value);
  if (!document || unsignedField(*document, "v") != kLayoutVersion) return std::nullopt;
  return document;
}

// The enumerator with that value; nullopt if it is beyond the last one.
template <class Enum>
std::optional<Enum> toEnumerator(std::optional<std::uint64_t> number, Enum last) {
  if (!number || *number > static_cast<std::uint64_t>(last)) return std::nullopt;
  return static_cast<Enum>(*number);
}

// Encodes ascending numbers as [first, last] pairs of consecutive ones.
Json encodeRanges(const std::vector<std::uint32_t>& numbers) {
  Json ranges = Json::array();
  for (std::size_t first = 0; first < numbers.size();) {
    std::size_t last = first;
    while (last + 1 < numbers.size() && numbers[last + 1] == numbers[last] + 1) ++last;
    ranges.push_back({numbers[first], numbers[last]});
    first = last + 1;
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
    for (auto number = range[0].get<std::uint32_t>(); number <= last; ++number) numbers.push_back(number);
  }
  return numbers;
}

Json encodeDelegation(const Delegation& delegation) {
  Json json{{"sh", delegation.shard.value}, {"t", encodeRanges(delegation.tasks)}};
  if (delegation.zone) json["zo"] = delegation.zone->value;
  if (delegation.attempt) json["try"] = delegation.attempt->value;
  if (delegation.recalled) json["back"] = true;
  return json;
}

std::optional<Delegation> parseDelegation(const Json& json) {
  auto shard = unsignedField(json, "sh");
  auto tasks = parseRanges(arrayField(json, "t"));
  if (!shard || !tasks) return std::nullopt;
  Delegation delegation{ShardId{static_cast<std::uint32_t>(*shard)}, std::nullopt, std::move(*tasks)};
  if (auto zone = stringField(json, "zo")) delegation.zone = Zone{*zone};
  if (auto attempt = unsignedField(json, "try")) delegation.attempt = Attempt{*attempt};
  delegation.recalled = boolField(json, "back").value_or(false);
  return delegation;
}

Json encodeSpec(const JobSpec& spec) {
  Json json{{"class", spec.jobClass},
            {"team", spec.team.value},
            {"shape", static_cast<int>(spec.kind)},
            {"rank", static_cast<int>(spec.priority)},
            {"each", {spec.each.cores, spec.each.gpus, spec.each.ram}},
            {"image", spec.image.value},
            {"gb", spec.imageGb},
            {"onezone", spec.oneZone},
            {"spread", spec.spread},
            {"lend", spec.spotAllowed},
            {"expect", spec.expectedRunSeconds},
            {"every", spec.checkpointIntervalSeconds},
            {"save", spec.checkpointSeconds}};
  if (spec.types) json["types"] = *spec.types;
  if (spec.zone) json["zone"] = spec.zone->value;
  if (spec.deadlineSeconds) json["due"] = *spec.deadlineSeconds;
  return json;
}

std::optional<Resources> parseResources(const Json& list) {
  if (list.size() != 3) return std::nullopt;
  bool numbers = std::all_of(list.begin(), list.end(), [](const Json& item) { return item.is_number(); });
  if (!numbers) return std::nullopt;
  return Resources{list[0].get<double>(), list[1].get<double>(), list[2].get<double>()};
}

std::vector<std::string> parseNames(const Json& list) {
  std::vector<std::string> names;
  for (const auto& name : list)
    if (name.is_string()) names.push_back(name.get<std::string>());
  return names;
}

std::optional<JobSpec> parseSpec(const JobId& id, std::uint32_t tasks, const Json& json) {
  auto each = parseResources(arrayField(json, "each"));
  auto priority = toEnumerator(unsignedField(json, "rank"), PriorityClass::Production);
  auto kind = toEnumerator(unsignedField(json, "shape"), JobKind::Gang);
  if (!each || !priority || !kind) return std::nullopt;
  JobSpec spec;
  spec.id = id;
  spec.jobClass = stringField(json, "class").value_or("");
  spec.team = TeamId{stringField(json, "team").value_or("")};
  spec.kind = *kind;
  spec.priority = *priority;
  spec.tasks = tasks;
  spec.each = *each;
  spec.image = ImageId{stringField(json, "image").value_or("")};
  spec.imageGb = numberField(json, "gb").value_or(0);
  spec.oneZone = boolField(json, "onezone").value_or(false);
  spec.spread = boolField(json, "spread").value_or(false);
  spec.spotAllowed = boolField(json, "lend").value_or(false);
  spec.expectedRunSeconds = numberField(json, "expect").value_or(0);
  spec.checkpointIntervalSeconds = numberField(json, "every").value_or(0);
  spec.checkpointSeconds = numberField(json, "save").value_or(0);
  if (json.contains("types")) spec.types = parseNames(arrayField(json, "types"));
  if (auto zone = stringField(json, "zone")) spec.zone = Zone{*zone};
  spec.deadlineSeconds = numberField(json, "due");
  return spec;
}

}  // namespace

// --- jobs ---

std::string encodeJobRecord(const JobRecord& record) {
  Json json{{"st", static_cast<int>(record.status)}, {"sh", record.shard.value}, {"n", record.tasks}};
  if (record.maxConcurrent) json["most"] = *record.maxConcurrent;
  for (const auto& delegation : record.delegations) json["parts"].push_back(encodeDelegation(delegation));
  if (!record.doneRemotely.empty()) json["done"] = encodeRanges(record.doneRemotely);
  if (record.spec) {
    json["at"] = record.submitted.value;
    json["spec"] = encodeSpec(*record.spec);
  }
  return dump(json);
}

std::string encodeCancelledJob(JobRecord record, std::size_t maxValueBytes) {
  auto value = encodeJobRecord(record);
  if (value.size() <= maxValueBytes || !record.spec) return value;
  // No more tasks of the job will be placed; only their resources are still needed.
  record.spec->jobClass.clear();
  record.spec->image.value.clear();
  record.spec->types.reset();
  value = encodeJobRecord(record);
  if (value.size() <= maxValueBytes) return value;
  for (auto& delegation : record.delegations) {
    auto& tasks = delegation.tasks;
    if (tasks.empty()) continue;
    auto first = tasks.front();
    tasks.resize(tasks.back() - first + 1);
    std::iota(tasks.begin(), tasks.end(), first);
  }
  return encodeJobRecord(record);
}

std::optional<JobRecord> parseJobRecord(const JobId& id, const std::string& value) {
  auto document = parse(value);
  if (!document) return std::nullopt;
  auto status = toEnumerator(unsignedField(*document, "st"), JobStatus::Cancelled);
  auto shard = unsignedField(*document, "sh");
  auto tasks = unsignedField(*document, "n");
  auto doneRemotely = parseRanges(arrayField(*document, "done"));
  if (!status || !shard || !tasks || !doneRemotely) return std::nullopt;
  JobRecord record;
  record.status = *status;
  record.shard = ShardId{static_cast<std::uint32_t>(*shard)};
  record.tasks = static_cast<std::uint32_t>(*tasks);
  record.doneRemotely = std::move(*doneRemotely);
  if (auto maxConcurrent = unsignedField(*document, "most"))
    record.maxConcurrent = static_cast<std::uint32_t>(*maxConcurrent);
  for (const auto& part : arrayField(*document, "parts")) {
    // Ignoring a malformed delegation would place its tasks twice.
    auto delegation = parseDelegation(part);
    if (!delegation) return std::nullopt;
    record.delegations.push_back(std::move(*delegation));
  }
  // A cancelled job keeps its description: its usage counts until its last task is known to have ended.
  bool hasSpec = document->contains("spec");
  if (record.status != JobStatus::Open && !hasSpec) return record;
  auto submitted = unsignedField(*document, "at");
  if (!submitted || !hasSpec) return std::nullopt;
  record.submitted = WallTime{static_cast<std::int64_t>(*submitted)};
  record.spec = parseSpec(id, record.tasks, document->at("spec"));
  if (!record.spec) return std::nullopt;
  return record;
}

// --- placements ---

namespace {

std::size_t digits(std::uint64_t number) { return std::to_string(number).size(); }

Json encodePlacements(const JobPlacements& placements) {
  Json placed = Json::array();
  for (const auto& entry : placements.placed)
    placed.push_back({entry.index, entry.attempt.value, entry.machine.value});
  Json json = Json::object();
  if (!placements.done.empty()) json["d"] = encodeRanges(placements.done);
  if (!placed.empty()) json["p"] = std::move(placed);
  return json;
}

std::optional<PlacementEntry> parsePlacement(const Json& json) {
  if (!json.is_array() || json.size() != 3 || !json[0].is_number_unsigned() ||
      !json[1].is_number_unsigned() || !json[2].is_string())
    return std::nullopt;
  return PlacementEntry{json[0].get<std::uint32_t>(), Attempt{json[1].get<std::uint64_t>()},
                        MachineId{json[2].get<std::string>()}};
}

std::optional<JobPlacements> parsePlacements(const Json& json) {
  auto done = parseRanges(arrayField(json, "d"));
  if (!done) return std::nullopt;
  JobPlacements placements{std::move(*done), {}};
  for (const auto& item : arrayField(json, "p")) {
    auto entry = parsePlacement(item);
    if (!entry) return std::nullopt;
    placements.placed.push_back(std::move(*entry));
  }
  return placements;
}

}  // namespace

// The constants cover quotes, brackets, commas and member names, rounded up.
std::size_t maxBytesOfJob(const JobId& job) { return job.value.size() + 20; }
std::size_t maxBytesOfDoneTask(std::uint32_t index) { return 2 * digits(index) + 4; }
std::size_t maxBytesOf(const PlacementEntry& entry) {
  return digits(entry.index) + digits(entry.attempt.value) + entry.machine.value.size() + 7;
}

std::string encodePlacementPage(const PlacementPageRecord& record) {
  Json jobs = Json::object();
  for (const auto& [id, placements] : record.jobs) jobs[id.value] = encodePlacements(placements);
  return dump(Json{{"v", kLayoutVersion}, {"j", std::move(jobs)}});
}

std::optional<PlacementPageRecord> parsePlacementPage(const std::string& value) {
  auto document = parseVersioned(value);
  if (!document || !document->contains("j") || !document->at("j").is_object()) return std::nullopt;
  PlacementPageRecord record;
  for (const auto& [id, json] : document->at("j").items()) {
    auto placements = parsePlacements(json);
    if (!placements) return std::nullopt;
    record.jobs[JobId{id}] = std::move(*placements);
  }
  return record;
}

// --- machines ---

namespace {

std::optional<MachineGroupMember> parseMember(const Json& json) {
  if (!json.is_array() || json.size() != 3 || !json[0].is_string() || !json[1].is_number_unsigned() ||
      !json[2].is_string())
    return std::nullopt;
  auto phase = toEnumerator<MachinePhase>(json[1].get<std::uint64_t>(), MachinePhase::Returning);
  if (!phase) return std::nullopt;
  return MachineGroupMember{MachineId{json[0].get<std::string>()}, *phase, json[2].get<std::string>()};
}

}  // namespace

std::string encodeMachineGroup(const MachineGroupRecord& record) {
  Json members = Json::array();
  for (const auto& member : record.members)
    members.push_back({member.id.value, static_cast<int>(member.phase), member.address});
  return dump(Json{{"v", kLayoutVersion},
                   {"sh", record.shard.value},
                   {"tk", record.token.value},
                   {"ty", record.type},
                   {"zo", record.zone.value},
                   {"sp", record.spot},
                   {"at", record.since.value},
                   {"m", std::move(members)}});
}

std::optional<MachineGroupRecord> parseMachineGroup(const std::string& value) {
  auto document = parseVersioned(value);
  if (!document) return std::nullopt;
  auto shard = unsignedField(*document, "sh");
  auto token = unsignedField(*document, "tk");
  if (!shard || !token) return std::nullopt;
  MachineGroupRecord record{ShardId{static_cast<std::uint32_t>(*shard)},
                            Epoch{*token},
                            stringField(*document, "ty").value_or(""),
                            Zone{stringField(*document, "zo").value_or("")},
                            boolField(*document, "sp").value_or(false),
                            WallTime{static_cast<std::int64_t>(unsignedField(*document, "at").value_or(0))},
                            {}};
  for (const auto& item : arrayField(*document, "m")) {
    auto member = parseMember(item);
    if (!member) return std::nullopt;
    record.members.push_back(std::move(*member));
  }
  return record;
}

std::size_t maxGroupMembers(std::size_t maxValueBytes) {
  constexpr std::size_t kCommonBytes = 200;  // fields common to all members, with a reserve
  constexpr std::size_t kMemberBytes = 48;   // name, phase and address of a member
  return std::max<std::size_t>(1, (maxValueBytes - std::min(maxValueBytes, kCommonBytes)) / kMemberBytes);
}

// --- ownership ---

std::string encodeOwnerRecord(const OwnerRecord& record) {
  return dump(Json{{"own", record.owner.value}, {"ep", record.epoch.value}});
}

std::optional<OwnerRecord> parseOwnerRecord(const std::string& value) {
  auto document = parse(value);
  auto owner = document ? stringField(*document, "own") : std::nullopt;
  auto epoch = document ? unsignedField(*document, "ep") : std::nullopt;
  if (!owner || !epoch) return std::nullopt;
  return OwnerRecord{ControllerId{*owner}, Epoch{*epoch}};
}

std::string encodeEpochCounter(Epoch epoch) { return dump(Json{{"n", epoch.value}}); }

std::optional<Epoch> parseEpochCounter(const std::string& value) {
  auto document = parse(value);
  auto number = document ? unsignedField(*document, "n") : std::nullopt;
  if (!number) return std::nullopt;
  return Epoch{*number};
}

}  // namespace cherryloft::wire
