#include "options.h"

#include <fstream>

namespace indigorill {

options decode_options(const toml::table& from) {
  faults wrong;
  section top(from, "", wrong);
  options o;
  section log(top.inner("log", false), "log", wrong);
  o.shown = log.word<level>(
      "level", o.shown,
      {{"error", level::error}, {"warning", level::warning}, {"info", level::info}, {"debug", level::debug}});
  o.form = log.word<log_form>("form", o.form, {{"text", log_form::text}, {"json", log_form::json}});
  o.counters_every = log.seconds("counters_every_s", 0);
  constexpr double least = 1000;  // ms; oftener they would be a flood
  if (o.counters_every > 0 && o.counters_every < least)
    log.fault_here("counters_every_s", "is under a second");
  log.none_left();
  section limits(top.inner("limits", false), "limits", wrong);
  constexpr double most_mb = 1 << 20, mb = 1024 * 1024;
  constexpr int most_sockets = 1 << 20, least_sockets = 33;
  if (const double memory = limits.number("memory_mb", 0, 0, most_mb); memory > 0)
    o.memory = static_cast<std::size_t>(memory * mb);
  if (const int sockets = limits.whole("sockets", 0, 0, most_sockets); sockets > 0) {
    if (sockets < least_sockets) limits.fault_here("sockets", "allows too few");
    o.descriptors = static_cast<std::size_t>(sockets);
  }
  limits.none_left();
  top.none_left();
  wrong.raise();
  return o;
}

std::vector<std::string> faults_of_config(const std::string& path,
                                          const std::function<const char*(const char*)>& variable) {
  std::vector<std::string> all;
  try {
    check_start(read_config(path, variable), [&](const std::string& fault) { all.push_back(fault); });
  } catch (const malformed& e) {
    all.push_back(e.what());
  }
  return all;
}

}  // namespace indigorill
