#include "hot_restart/hot_restart_policy.h"

#include <nlohmann/json.hpp>

namespace indigorill {
namespace {

using nlohmann::json;

// Its own name and a number that rises with each change of the form: another program's file, or one of
// another version, is not guessed at.
constexpr const char* record_format = "indigorill-handover-1";

constexpr const char* process_state_names[] = {"starting", "serving", "leaving"};

std::optional<json> parse_record(const std::string& text, const char* kind) {
  json j = json::parse(text, nullptr, false);
  if (!j.is_object() || j.value("format", json()) != record_format || j.value("kind", json()) != kind)
    return {};
  return j;
}

}  // namespace

std::string encode(const ProcessRecord& r) {
  return json{{"format", record_format},
              {"kind", "record"},
              {"at", process_state_names[static_cast<int>(r.state)]},
              {"born", r.started_at_ms},
              {"bans", r.ejection_revision},
              {"made_room", r.limits_reduced}}
      .dump();
}

std::string encode(const EjectionRecord& b) {
  return json{{"format", record_format},
              {"kind", "bans"},
              {"revision", b.revision},
              {"out", b.ejected},
              {"back", b.restored_at_ms}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ProcessRecord> decode_process_record(const std::string& text) try {
  const auto j = parse_record(text, "record");
  if (!j) return {};
  ProcessRecord r;
  const std::string at = j->at("at");
  int stage = 0;
  while (stage < 3 && at != process_state_names[stage]) ++stage;
  if (stage == 3) return {};
  r.state = static_cast<ProcessRecord::ProcessState>(stage);
  r.started_at_ms = j->at("born");
  r.ejection_revision = j->at("bans");
  r.limits_reduced = j->at("made_room");
  return r;
} catch (const json::exception&) {
  return {};
}

std::optional<EjectionRecord> decode_ejection_record(const std::string& text) try {
  const auto j = parse_record(text, "bans");
  if (!j) return {};
  EjectionRecord b;
  b.revision = j->at("revision");
  for (const json& id : j->at("out")) b.ejected.insert(id.get<std::string>());
  for (const auto& [id, when] : j->at("back").items()) b.restored_at_ms[id] = when.get<double>();
  return b;
} catch (const json::exception&) {
  return {};
}

void eject_endpoint(EjectionRecord& b, const std::string& id) {
  b.ejected.insert(id);
  b.restored_at_ms.erase(id);
}

void restore_endpoint(EjectionRecord& b, const std::string& id, double now) {
  if (b.ejected.erase(id)) b.restored_at_ms[id] = now;
  constexpr double day = 24 * 3600 * 1000.0;  // whatever started before that is warm
  std::erase_if(b.restored_at_ms, [&](const auto& other) { return other.second < now - day; });
}

void HotRestartPolicy::update_other_process(std::optional<ProcessRecord> of_other, bool other_lives) {
  other_is_alive_ = other_lives;
  other_record_ = other_is_alive_ ? of_other : std::nullopt;
}

bool HotRestartPolicy::is_accepting() const {
  if (own_record_.state == ProcessRecord::ProcessState::starting) return false;
  return !is_force_closing();
}

double HotRestartPolicy::limit_fraction() const {
  // Both at once may hold no more than one alone, from the newcomer's first moment: it starts on what the
  // elder's reserve leaves over, a tenth, and is at its half when the elder says that it has made room.
  constexpr double half = 0.5, least = 0.1;
  if (!other_is_alive_) return 1;
  if (is_parent()) return half;
  return other_record_ && other_record_->limits_reduced ? half : least;
}

}  // namespace indigorill
