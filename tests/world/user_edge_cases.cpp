// User requests that are unusual or arrive at critical moments.
#include "world/world.h"

namespace world {
using Json = nlohmann::json;

namespace {
const std::vector<std::string> kFields{"name_id",          "jobclass",  "owner",  "shape",    "rank",
                                       "pieces",           "cores",     "gpus",   "ram_gb",   "bundle",
                                       "image_gb",         "one_zone",  "spread", "lendable", "expect_s",
                                       "snapshot_every_s", "snapshot_s"};

std::string statusIn(const HttpResult& h) {
  return Json::parse(h.response.body)["status"].get<std::string>();
}
}  // namespace

void World::submitInvalid(const std::string& id, const std::string& kind, std::string field) {
  JobBehavior n;
  n.spec.id = cherryloft::JobId{id};
  n.spec.team = cherryloft::TeamId{"team-0"};
  n.spec.each = {1, 0, 1};
  n.spec.image = cherryloft::ImageId{"img-1"};
  auto doc = Json::parse(submissionJson(n));
  doc["jobclass"] = "plain";
  if (field.empty()) field = kFields[clock.rng() % kFields.size()];
  if (kind == "too-large")
    doc["cores"] = 100'000.0;
  else if (kind == "unknown-team")
    doc["owner"] = "nobody";
  else if (kind == "unknown-zone")
    doc["site"] = "nowhere";
  else if (kind == "over-limit")
    doc["shape"] = "service", doc["pieces"] = 50'000;
  else if (kind == "unspreadable")
    doc["pieces"] = 4, doc["spread"] = true, doc["one_zone"] = true;
  else if (kind == "missing-field")
    doc.erase(field);
  else if (kind == "invalid-field")
    doc[field] = Json::array({1});
  else if (kind != "not-json")
    throw std::runtime_error("unknown kind '" + kind + "'");
  auto body = kind == "not-json" ? doc.dump().substr(1) : doc.dump();
  observations[id].id = id;
  checker.submittedInvalid(id,
                           kind + (kind == "missing-field" || kind == "invalid-field" ? " " + field : ""));
  trySubmit(id, body);
}

void World::resubmit(const std::string& id, Node node) {
  auto behavior = behaviors.find(id);
  if (behavior == behaviors.end()) return;
  auto onResponse = [this, id](HttpResult h) {
    if (h.answered(200) || h.answered(201)) return checker.statusReported(id, statusIn(h), answerSource_);
    if (h.answered(400) || h.answered(422)) return checker.retryRejected(id, h.response.status);
    clock.after(1000, [this, id] { resubmit(id); });
  };
  request({"POST", "/v1/jobs", submissionJson(behavior->second), false}, 5000, onResponse, node);
}

void World::jobCompleted(const std::string& id) {
  pollIntensively(id);
  auto it = completionActions_.find(id);
  if (it == completionActions_.end()) return;
  for (const auto& a : it->second)
    clock.after(static_cast<Ms>(clock.uniform(0, static_cast<double>(a.within))), [this, id, what = a.what] {
      if (what == "cancel")
        cancel(id);
      else if (what == "resubmit")
        resubmit(id);
      else
        poll(id, false);
    });
}

void World::injectUnsentJob(const JobBehavior& behavior) {
  checker.submitted(behavior.spec, behavior.fails);
  checker.accepted(behavior.spec.id.value);
}

}  // namespace world
