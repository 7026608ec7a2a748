#include "load/load_report.h"

#include <algorithm>
#include <iomanip>
#include <string>

namespace indigorill::load_generator {
namespace {

constexpr int name_width = 22;
constexpr int precision = 4;
constexpr double tail_quantile = 0.999;
constexpr std::size_t max_bar_length = 60;

void print_line(std::ostream& out, const char* name, double value, const char* mark = "") {
  out << "  " << std::left << std::setw(name_width) << name << std::setprecision(precision) << value << mark
      << '\n';
}

void print_latency(std::ostream& out, const ClientMetrics& metrics) {
  const emulator::LatencyHistogram& latency = metrics.latency;
  const bool marked = latency.has_too_few_samples(tail_quantile);
  print_line(out, "p50_ms", latency.quantile(0.5));
  print_line(out, "p99_ms", latency.quantile(0.99));
  print_line(out, "p99.9_ms", latency.quantile(tail_quantile), marked ? " *" : "");
}

void print_share(std::ostream& out, const char* name, std::uint64_t count, const ClientMetrics& metrics) {
  const auto requests = static_cast<double>(metrics.requests);
  print_line(out, name, metrics.requests > 0 ? static_cast<double>(count) / requests : 0);
}

void print_retry_quota(std::ostream& out, const LoadRunResult& result) {
  print_line(out, "most_a_second", static_cast<double>(result.max_retries_per_second));
  print_line(out, "over_budget", static_cast<double>(result.budget_violations));
  print_line(out, "used_of_budget", result.budget_used_fraction);
  out << "  further picks, second by second:\n";
  const std::vector<std::size_t>& counts = result.retries_by_second;
  const std::size_t highest = *std::max_element(counts.begin(), counts.end());
  for (std::size_t second = 0; second < counts.size(); ++second) {
    const std::size_t count = counts[second];
    const std::size_t length = highest > max_bar_length ? count * max_bar_length / highest : count;
    out << "  " << std::right << std::setw(4) << second << std::setw(5) << count << ' '
        << std::string(length, '#') << '\n';
  }
}

}  // namespace

void print_result(std::ostream& out, const LoadRunResult& result) {
  const ClientMetrics& metrics = result.client_metrics;
  out << metrics.requests << " RPCs wanted, " << metrics.sent << " sent with retries\n";
  print_line(out, "utility", metrics.utility());
  print_latency(out, metrics);
  print_line(out, "first_attempt_mean_ms", result.first_attempt_delay.mean());
  print_line(out, "first_attempt_p99_ms", result.first_attempt_delay.quantile(0.99));
  print_share(out, "ok", metrics.ok, metrics);
  print_share(out, "late", metrics.late, metrics);
  print_share(out, "pushed_back", metrics.rejected, metrics);
  print_share(out, "aborted", metrics.failed, metrics);
  print_share(out, "unanswered", metrics.unanswered, metrics);
  print_share(out, "lost", metrics.lost, metrics);
  print_share(out, "picks", result.attempts_received, metrics);
  print_share(out, "handshakes", result.connections, metrics);
  print_share(out, "probes", result.health_checks, metrics);
  print_line(out, "list_calls", static_cast<double>(result.discovery_polls));
  print_line(out, "falls", static_cast<double>(result.crashes));
  print_line(out, "further_picks", static_cast<double>(result.retries));
  if (result.budget_used_fraction >= 0) print_retry_quota(out, result);
  print_line(out, "sent_late_p99_ms", metrics.send_delay.quantile(0.99));
  for (const std::string& violation : result.violations) out << "  broken: " << violation << '\n';
  if (!result.kept_pace()) out << "  could not keep its own pace: " << result.pace_failure << '\n';
  if (metrics.latency.has_too_few_samples(tail_quantile))
    out << "* fewer than ten samples lie beyond this quantile\n";
}

void print_soak_result(std::ostream& out, std::uint64_t seed, const SoakResult& result) {
  out << "soak " << seed << ": " << (result.violations.empty() ? "held" : "broken") << ", " << result.rpcs
      << " RPCs, " << result.answered << " answered, " << result.attempts << " attempts, "
      << result.endpoint_changes << " changes of the list, observer held up for "
      << std::setprecision(precision) << result.observer_lag_ms << " ms at most\n";
  if (result.violations.empty()) return;
  for (const std::string& violation : result.violations) out << "  broken: " << violation << '\n';
  out << result.plan << "  the sidecar's last line: " << result.last_line << '\n';
}

}  // namespace indigorill::load_generator
