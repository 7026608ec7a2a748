#include "load/effect_rules.h"

namespace indigorill::load_generator {
namespace {

std::string describe_double_executions(const FakeFleet& fleet, const LoadClients& clients) {
  std::uint64_t count = 0;
  std::string example;
  for (const auto& [id, observation] : fleet.rpcs()) {
    if (observation.executed <= 1 || !clients.is_non_idempotent(id)) continue;
    ++count;
    example = id;
  }
  if (count == 0) return "";
  return "rule 2: " + std::to_string(count) + " non-idempotent RPCs ran twice, " + example + " for one";
}

std::string describe_executed_rejections(const FakeFleet& fleet, const ClientMetrics& metrics) {
  std::uint64_t count = 0;
  std::string example;
  for (const std::string& id : metrics.rejected_non_idempotent) {
    const auto found = fleet.rpcs().find(id);
    if (found == fleet.rpcs().end() || found->second.executed == 0) continue;
    ++count;
    example = id;
  }
  if (count == 0) return "";
  return "rule 2: " + std::to_string(count) + " non-idempotent RPCs were pushed back though they ran, " +
         example + " for one";
}

}  // namespace

std::vector<std::string> find_effect_violations(const FakeFleet& fleet, const LoadClients& clients) {
  std::vector<std::string> violations;
  for (const std::string& violation :
       {describe_double_executions(fleet, clients), describe_executed_rejections(fleet, clients.metrics())}) {
    if (!violation.empty()) violations.push_back(violation);
  }
  return violations;
}

}  // namespace indigorill::load_generator
