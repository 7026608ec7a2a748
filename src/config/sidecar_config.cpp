#include "config/sidecar_config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <initializer_list>

#include "config/json_fields.h"
#include "event/socket.h"

namespace indigorill {
namespace {

constexpr const char* config_variable = "LB_CONFIG";
constexpr const char* inherited_fd_variable = "LB_INHERITED_FD";

// Limits that the operators have set; they apply even if the config allows more.
constexpr double max_memory_mb = 192;
constexpr double max_sockets = 1024;
constexpr double bytes_per_mb = 1024 * 1024;

/// An environment variable that overrides a field of the config.
struct EnvironmentOverride {
  const char* variable;
  const char* field;
};

constexpr EnvironmentOverride name_override{"LB_NAME", "name"};
constexpr EnvironmentOverride listen_override{"LB_LISTEN", "listen"};
constexpr EnvironmentOverride discovery_override{"LB_DISCOVERY", "discovery"};
constexpr EnvironmentOverride admin_override{"LB_ADMIN_ADDR", "admin_addr"};
// Values that only the environment provides are added to the config under the name of their variable.
constexpr EnvironmentOverride inherited_fd_override{inherited_fd_variable, inherited_fd_variable};
constexpr EnvironmentOverride shared_directory_override{"TMPDIR", "TMPDIR"};

nlohmann::json read_json_file(const std::string& path, const EnvironmentLookup& environment,
                              std::initializer_list<EnvironmentOverride> overrides) {
  if (path.empty())
    throw ConfigError({.file = {}, .field = config_variable, .cause = "does not name a config file"});
  std::ifstream file(path);
  if (!file) throw ConfigError({.file = path, .field = {}, .cause = "config file can't be read"});
  nlohmann::json config = nlohmann::json::parse(file, nullptr, false);
  if (config.is_discarded())
    throw ConfigError({.file = path, .field = {}, .cause = "config file is not JSON"});
  if (!config.is_object()) return config;
  for (const auto& [variable, field] : overrides) {
    const std::string value = environment_value(environment, variable);
    if (!value.empty()) config[field] = value;
  }
  return config;
}

sockaddr_in decode_address(const JsonFields& config, const char* field) {
  const auto address = parse_socket_address(config.string(field));
  if (!address) config.fail_field(field, "is not an address and a port");
  return *address;
}

void decode_name(const JsonFields& config, SidecarConfig& decoded) { decoded.name = config.string("name"); }

void decode_listen_address(const JsonFields& config, SidecarConfig& decoded) {
  decoded.listen_address = decode_address(config, "listen");
}

void decode_admin_address(const JsonFields& config, SidecarConfig& decoded) {
  if (config.find("admin_addr")) decoded.admin_address = decode_address(config, "admin_addr");
}

void decode_shared_directory(const JsonFields& config, SidecarConfig& decoded) {
  decoded.shared_directory = config.string(shared_directory_override.field, "");
}

void decode_inherited_listener(const JsonFields& config, SidecarConfig& decoded) {
  const std::string text = config.string(inherited_fd_override.field, "");
  if (text.empty()) return;
  int fd = -1;
  const char* last = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), last, fd);
  if (error != std::errc() || parsed_to != last || fd < 0)
    throw ConfigError(
        {.file = {}, .field = inherited_fd_variable, .cause = "is not a file descriptor number"});
  decoded.inherited_listener_fd = fd;
}

void decode_discovery(const JsonFields& config, SidecarConfig& decoded) {
  decoded.discovery_address = decode_address(config, "discovery");
  decoded.discovery_host = config.string("discovery");
}

void decode_seed(const JsonFields& config, SidecarConfig& decoded) {
  const std::string text = config.string("seed");
  const char* last = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), last, decoded.seed, 16);
  if (error != std::errc() || parsed_to != last) config.fail_field("seed", "is not a hexadecimal number");
}

void decode_limits(const JsonFields& config, SidecarConfig& decoded) {
  const JsonFields limits = config.object("limits");
  const double memory_mb = limits.number("memory_mb", max_memory_mb);
  const double sockets = limits.number("sockets", max_sockets);
  if (!(memory_mb > 0) || !(sockets > 0))
    config.fail_field("limits", "has a memory_mb or sockets value that is not above 0");
  decoded.max_memory_bytes = static_cast<std::size_t>(std::min(memory_mb, max_memory_mb) * bytes_per_mb);
  decoded.max_descriptors = static_cast<std::size_t>(std::min(sockets, max_sockets));
}

void decode_initial_endpoints(const JsonFields& config, SidecarConfig& decoded) {
  if (config.find("known")) decoded.initial_endpoints = decode_endpoint_list(config.object("known"));
}

void decode_settings(const JsonFields& config, SidecarConfig& decoded) {
  config.require("settings");
  const JsonFields settings = config.object("settings");
  decoded.load_balancer = decode_load_balancer_config(settings);
  decoded.upstream = decode_connection_config(settings);
}

// Each function decodes one part independently, so that a check can continue after a problem.
using PartDecoder = void (*)(const JsonFields& config, SidecarConfig& decoded);
constexpr PartDecoder part_decoders[] = {
    decode_name,
    decode_listen_address,
    decode_admin_address,
    decode_shared_directory,
    decode_inherited_listener,
    decode_discovery,
    decode_seed,
    decode_limits,
    decode_initial_endpoints,
    decode_settings,
};

ConfigError to_config_error(const ParseError& error) {
  std::string field = error.object_path();
  if (!error.field().empty()) field += "." + error.field();
  return ConfigError({.file = {}, .field = std::move(field), .cause = error.cause()});
}

/// Runs a step of decoding and converts ParseError, which is not specific to configuration, to ConfigError.
template <class Step>
void run_step(Step&& step) {
  try {
    step();
  } catch (const ParseError& error) {
    throw to_config_error(error);
  }
}

}  // namespace

SidecarConfig load_sidecar_config(const EnvironmentLookup& environment) {
  return decode_sidecar_config(
      read_config_json(environment_value(environment, config_variable), environment));
}

SidecarConfig reload_sidecar_config(const EnvironmentLookup& environment) {
  return decode_sidecar_config(read_json_file(
      environment_value(environment, config_variable), environment,
      {name_override, listen_override, admin_override, inherited_fd_override, shared_directory_override}));
}

nlohmann::json read_config_json(const std::string& path, const EnvironmentLookup& environment) {
  return read_json_file(path, environment,
                        {name_override, listen_override, discovery_override, admin_override,
                         inherited_fd_override, shared_directory_override});
}

SidecarConfig decode_sidecar_config(const nlohmann::json& config) {
  SidecarConfig decoded;
  run_step([&] {
    const JsonFields fields("config", config);
    for (const PartDecoder decode : part_decoders) decode(fields, decoded);
  });
  return decoded;
}

std::vector<ConfigProblem> find_sidecar_config_problems(const nlohmann::json& config) {
  std::vector<ConfigProblem> problems;
  const auto collect = [&](const auto& step) {
    try {
      run_step(step);
      return true;
    } catch (const ConfigError& error) {
      problems.insert(problems.end(), error.problems().begin(), error.problems().end());
      return false;
    }
  };
  if (!collect([&] { const JsonFields fields("config", config); })) return problems;
  const JsonFields fields("config", config);
  SidecarConfig decoded;
  for (const PartDecoder decode : part_decoders) collect([&] { decode(fields, decoded); });
  return problems;
}

}  // namespace indigorill
