#include "emulator/metric.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>

namespace indigorill::emulator {
namespace {

using Counter = std::uint64_t RunMetrics::*;

// The counter divided by the number of requests that arrived; 0 if none arrived.
Metric per_request(const char* name, Counter counter) {
  return {name, [counter](const RunMetrics& run) {
            return run.arrived ? static_cast<double>(run.*counter) / static_cast<double>(run.arrived) : 0;
          }};
}

Metric total(const char* name, Counter counter) {
  return {name, [counter](const RunMetrics& run) { return static_cast<double>(run.*counter); }};
}

Metric latency_quantile(const char* name, double quantile) {
  return {name, [quantile](const RunMetrics& run) { return run.latency.quantile(quantile); }, quantile};
}

}  // namespace

const std::vector<Metric>& all_metrics() {
  using Run = RunMetrics;
  static const std::vector<Metric> metrics{
      {"utility", [](const Run& run) { return run.utility(); }},
      {"mean_ms", [](const Run& run) { return run.latency.mean(); }},
      latency_quantile("p50_ms", 0.5),
      latency_quantile("p99_ms", 0.99),
      latency_quantile("p99.9_ms", 0.999),
      per_request("ok", &Run::ok),
      per_request("late", &Run::late),
      per_request("pushed_back", &Run::rejected),
      per_request("aborted", &Run::failed),
      per_request("unanswered", &Run::unanswered),
      per_request("lost", &Run::lost),
      per_request("picks", &Run::attempts),
      per_request("handshakes", &Run::handshakes),
      per_request("probes", &Run::health_checks),
      per_request("connect_failed", &Run::connect_failed),
      per_request("timed_out", &Run::timed_out),
      per_request("full", &Run::queue_full),
      per_request("errors", &Run::errors),
      total("list_calls", &Run::discovery_polls),
      total("list_refusals", &Run::discovery_rejections),
      {"all_told_ms", [](const Run& run) { return run.endpoint_convergence_ms; }},
      total("most_connections", &Run::peak_connections),
      total("most_handshakes", &Run::peak_handshakes_per_second),
      total("most_probes", &Run::peak_health_checks_per_second),
      total("most_list_calls", &Run::peak_discovery_polls_per_second),
      per_request("denied", &Run::limit_denials),
      {"worst_cold", [](const Run& run) { return run.peak_slow_start_overload; }},
      total("falls", &Run::crashes),
      total("breaches", &Run::violation_count),
  };
  return metrics;
}

const Metric& find_metric(const std::string& name) {
  const std::vector<Metric>& metrics = all_metrics();
  const auto found =
      std::find_if(metrics.begin(), metrics.end(), [&](const Metric& metric) { return metric.name == name; });
  if (found == metrics.end()) throw std::logic_error("no metric is named " + name);
  return *found;
}

}  // namespace indigorill::emulator
