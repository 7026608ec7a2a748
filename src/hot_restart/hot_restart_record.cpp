#include "hot_restart/hot_restart_record.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace indigorill {
namespace {

using nlohmann::json;

// The number at the end rises with each change of the format. Records of other programs and format versions
// are ignored.
constexpr const char* record_format = "indigorill-handover-1";

constexpr const char* process_record_kind = "record";
constexpr const char* ejection_record_kind = "bans";

// In the order of ProcessRecord::ProcessState.
constexpr std::array<std::string_view, 3> process_state_names = {"starting", "serving", "leaving"};

std::string_view name_of(ProcessRecord::ProcessState state) {
  return process_state_names.at(static_cast<std::size_t>(state));
}

std::optional<ProcessRecord::ProcessState> parse_process_state(std::string_view name) {
  const auto found = std::find(process_state_names.begin(), process_state_names.end(), name);
  if (found == process_state_names.end()) return {};
  return static_cast<ProcessRecord::ProcessState>(found - process_state_names.begin());
}

std::optional<json> parse_record(const std::string& text, const char* kind) {
  json record = json::parse(text, nullptr, false);
  if (!record.is_object()) return {};
  if (record.value("format", json()) != record_format) return {};
  if (record.value("kind", json()) != kind) return {};
  return record;
}

}  // namespace

void eject_endpoint(EjectionRecord& record, const std::string& endpoint_id) {
  record.ejected.insert(endpoint_id);
  record.restored_at_ms.erase(endpoint_id);
}

void restore_endpoint(EjectionRecord& record, const std::string& endpoint_id, double now_ms) {
  // A day after its restoration an endpoint's slow start is long over.
  constexpr double restoration_retention_ms = 24 * 3600 * 1000.0;
  if (record.ejected.erase(endpoint_id) > 0) record.restored_at_ms[endpoint_id] = now_ms;
  std::erase_if(record.restored_at_ms, [&](const auto& restoration) {
    return restoration.second < now_ms - restoration_retention_ms;
  });
}

std::string encode(const ProcessRecord& record) {
  return json{{"format", record_format},          {"kind", process_record_kind},
              {"at", name_of(record.state)},      {"born", record.started_at_ms},
              {"bans", record.ejection_revision}, {"made_room", record.limits_reduced}}
      .dump();
}

std::string encode(const EjectionRecord& record) {
  return json{{"format", record_format},
              {"kind", ejection_record_kind},
              {"revision", record.revision},
              {"out", record.ejected},
              {"back", record.restored_at_ms}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ProcessRecord> decode_process_record(const std::string& text) try {
  const auto fields = parse_record(text, process_record_kind);
  if (!fields) return {};
  const auto state = parse_process_state(fields->at("at").get<std::string>());
  if (!state) return {};
  return ProcessRecord{.state = *state,
                       .started_at_ms = fields->at("born"),
                       .ejection_revision = fields->at("bans"),
                       .limits_reduced = fields->at("made_room")};
} catch (const json::exception&) {
  return {};
}

std::optional<EjectionRecord> decode_ejection_record(const std::string& text) try {
  const auto fields = parse_record(text, ejection_record_kind);
  if (!fields) return {};
  EjectionRecord record;
  record.revision = fields->at("revision");
  for (const json& id : fields->at("out")) record.ejected.insert(id.get<std::string>());
  for (const auto& [id, restored_at_ms] : fields->at("back").items())
    record.restored_at_ms[id] = restored_at_ms.get<double>();
  return record;
} catch (const json::exception&) {
  return {};
}

}  // namespace indigorill
