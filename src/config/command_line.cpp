#include "config/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/options.h"
#include "config/sidecar_config.h"
#include "config/toml_section.h"
#include "proxy/sidecar.h"

namespace indigorill {
namespace {

constexpr int exit_success = 0;
constexpr int exit_config_error = 1;
constexpr int exit_usage_error = 2;

struct Arguments {
  std::string config_file;
  std::string options_file;
  bool check_only = false;
};

/// Overwrites the fields of `arguments` that the command line sets. Returns an exit status if the process has
/// to exit: after --help, --version or an error.
std::optional<int> parse_arguments(int argc, const char* const* argv, std::ostream& out, std::ostream& err,
                                   Arguments& arguments) {
  CLI::App app("Sidecar that balances the RPCs of an application over the endpoints listed by discovery.",
               "indigorill");
  app.set_version_flag("--version", std::string("indigorill ") + INDIGORILL_VERSION);
  app.add_option("--config", arguments.config_file, "JSON config file; overrides LB_CONFIG");
  app.add_option(
      "--options", arguments.options_file,
      "TOML file with settings that the config file doesn't contain; overrides INDIGORILL_OPTIONS");
  app.add_flag("--check-config", arguments.check_only,
               "check both files, print one problem per line and exit");
  app.footer(
      "LB_NAME, LB_LISTEN and LB_DISCOVERY override the config; INDIGORILL_LOG overrides log.level of the "
      "options.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? exit_success : exit_usage_error;
  }
  return {};
}

Options load_options(const std::string& file) {
  return file.empty() ? Options{} : decode_options(read_toml_file(file));
}

/// Checks the config's name against the stricter rules for a name that is sent to other sidecars.
std::optional<ConfigProblem> find_node_name_problem(const SidecarConfig& config) {
  if (is_valid_name(config.name)) return {};
  return ConfigProblem{
      .file = {},
      .field = "config.name",
      .cause = "is not a valid name for a cluster member: at most 64 letters, digits and -_.:/"};
}

std::vector<ConfigProblem> find_config_problems(const Arguments& arguments,
                                                const EnvironmentLookup& environment) {
  std::vector<ConfigProblem> problems;
  const auto append = [&](const std::vector<ConfigProblem>& more) {
    problems.insert(problems.end(), more.begin(), more.end());
  };
  Options options;
  try {
    options = load_options(arguments.options_file);
  } catch (const ConfigError& error) {
    append(error.problems());
  }
  try {
    const nlohmann::json config = read_config_json(arguments.config_file, environment);
    const auto config_problems = find_sidecar_config_problems(config);
    append(config_problems);
    if (!config_problems.empty() || !options.cluster) return problems;
    if (const auto problem = find_node_name_problem(decode_sidecar_config(config)))
      problems.push_back(*problem);
  } catch (const ConfigError& error) {
    append(error.problems());
  }
  return problems;
}

int check_config(const Arguments& arguments, const EnvironmentLookup& environment, std::ostream& out,
                 std::ostream& err) {
  const auto problems = find_config_problems(arguments, environment);
  for (const ConfigProblem& problem : problems) err << problem.to_string() << '\n';
  if (!problems.empty()) return exit_config_error;
  out << "sound\n";
  return exit_success;
}

/// The config with the options applied. Throws ConfigError.
SidecarConfig load_config(const Options& options, const EnvironmentLookup& environment) {
  SidecarConfig config = load_sidecar_config(environment);
  config.max_descriptors = std::min(config.max_descriptors, options.max_descriptors);
  config.max_memory_bytes = std::min(config.max_memory_bytes, options.max_memory_bytes);
  config.counters_interval_ms = options.counters_interval_ms;
  config.cluster = options.cluster;
  if (config.cluster) {
    if (const auto problem = find_node_name_problem(config)) throw ConfigError(*problem);
    config.cluster->name = config.name;
  }
  return config;
}

int run(const Arguments& arguments, const EnvironmentLookup& environment, std::ostream& err) {
  try {
    const Options options = load_options(arguments.options_file);
    const auto log_level = parse_log_level(environment_value(environment, "INDIGORILL_LOG"));
    Logger logger(err, log_level.value_or(options.log_level), options.log_format);
    run_sidecar(
        load_config(options, environment), [&] { return reload_sidecar_config(environment); }, logger);
  } catch (const std::exception& error) {
    err << "indigorill: " << error.what() << '\n';
    return exit_config_error;
  }
  return exit_success;
}

}  // namespace

int run_command_line(int argc, const char* const* argv, const EnvironmentLookup& environment,
                     std::ostream& out, std::ostream& err) {
  Arguments arguments{.config_file = environment_value(environment, "LB_CONFIG"),
                      .options_file = environment_value(environment, "INDIGORILL_OPTIONS")};
  if (const auto exit_status = parse_arguments(argc, argv, out, err, arguments)) return *exit_status;
  // The config file of the command line replaces the value of LB_CONFIG wherever that variable is read.
  const EnvironmentLookup overridden_environment = [&](const char* name) {
    return std::string_view(name) == "LB_CONFIG" ? arguments.config_file.c_str() : environment(name);
  };
  if (arguments.check_only) return check_config(arguments, overridden_environment, out, err);
  return run(arguments, overridden_environment, err);
}

}  // namespace indigorill
