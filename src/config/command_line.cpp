#include "config/command_line.h"

#include <CLI/CLI.hpp>

#include "config/options.h"
#include "proxy/sidecar.h"

namespace indigorill {
namespace {

std::string value_of(const std::function<const char*(const char*)>& variable, const char* name) {
  const char* v = variable(name);
  return v ? v : "";
}

}  // namespace

int run_command_line(int argc, const char* const* argv,
                     const std::function<const char*(const char*)>& variable, std::ostream& out,
                     std::ostream& err) {
  CLI::App app("Balances the RPCs of the application beside it over the endpoints that discovery tells.",
               "indigorill");
  app.set_version_flag("--version", std::string("indigorill ") + INDIGORILL_VERSION);
  std::string config = value_of(variable, "LB_CONFIG"), file = value_of(variable, "INDIGORILL_OPTIONS");
  bool check = false;
  app.add_option("--config", config, "the config file, JSON; in place of LB_CONFIG");
  app.add_option("--options", file,
                 "a TOML file with what the config doesn't hold; in place of INDIGORILL_OPTIONS");
  app.add_flag("--check-config", check, "say what is wrong with both files, a line a fault, and end");
  app.footer(
      "LB_NAME, LB_LISTEN and LB_DISCOVERY lead over the config, INDIGORILL_LOG over the options' "
      "log.level.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e, out, err) == 0 ? 0 : 2;
  }
  // The file named on the command line stands for LB_CONFIG wherever that is read.
  const auto led = [&](const char* name) -> const char* {
    return std::string_view(name) == "LB_CONFIG" ? config.c_str() : variable(name);
  };
  Options with;
  std::vector<std::string> wrong;
  try {
    if (!file.empty()) with = decode_options(read_toml_file(file));
  } catch (const ConfigError& e) {
    wrong.push_back(e.what());
  }
  if (check) {
    for (std::string& fault : find_config_errors(config, with, led)) wrong.push_back(std::move(fault));
    for (const std::string& fault : wrong) err << fault << '\n';
    if (wrong.empty()) out << "sound\n";
    return wrong.empty() ? 0 : 1;
  }
  if (!wrong.empty()) {
    err << "indigorill: " << wrong.front() << '\n';
    return 1;
  }
  try {
    Logger lines(err, parse_log_level(value_of(variable, "INDIGORILL_LOG")).value_or(with.log_level),
                 with.log_format);
    SidecarConfig how = load_sidecar_config(led);
    how.max_descriptors = std::min(how.max_descriptors, with.max_descriptors);
    how.max_memory_bytes = std::min(how.max_memory_bytes, with.max_memory_bytes);
    how.counters_interval_ms = with.counters_interval_ms;
    how.cluster = with.cluster;
    if (how.cluster) {
      if (const auto fault = find_node_name_error(how.name)) throw ParseError(*fault);
      how.cluster->name = how.name;
    }
    run_sidecar(
        how, [&] { return reload_sidecar_config(led); }, lines);
  } catch (const std::exception& e) {
    err << "indigorill: " << e.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace indigorill
