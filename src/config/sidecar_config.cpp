#include "config/sidecar_config.h"

#include <algorithm>
#include <charconv>
#include <fstream>

namespace indigorill {
namespace {

sockaddr_in address(const JsonFields& f, const char* field) {
  const auto a = parse_socket_address(f.string(field));
  if (!a) f.fail("field " + std::string(field) + " is not an address and a port");
  return *a;
}

using Variables = std::function<const char*(const char*)>;
using Leading = std::initializer_list<std::pair<const char*, const char*>>;

// The variables in `led` say the same as the file did at the start, and lead.
nlohmann::json read_json(const std::string& path, const Variables& variable, Leading led) {
  if (path.empty()) throw ParseError("LB_CONFIG names no config file");
  std::ifstream in(path);
  if (!in) throw ParseError("config file " + path + " can't be read");
  nlohmann::json j = nlohmann::json::parse(in, nullptr, false);
  if (j.is_discarded()) throw ParseError("config file " + path + " is not JSON");
  for (const auto& [from, to] : led)
    if (const char* v = variable(from); v && *v && j.is_object()) j[to] = v;
  return j;
}

std::string path_of(const Variables& variable) {
  const char* path = variable("LB_CONFIG");
  return path ? path : "";
}

constexpr std::pair<const char*, const char*> led_name{"LB_NAME", "name"}, led_listen{"LB_LISTEN", "listen"},
    led_discovery{"LB_DISCOVERY", "discovery"}, led_second{"LB_ADMIN_ADDR", "admin_addr"};
// What is told by the environment alone stands in the object under the variable's own name.
constexpr std::pair<const char*, const char*> inherited{"LB_INHERITED_FD", "LB_INHERITED_FD"},
    folder{"TMPDIR", "TMPDIR"};

// Each reads one part, so that a check can go on after a fault.
using Part = void (*)(const JsonFields&, SidecarConfig&);
constexpr Part parts[]{
    [](const JsonFields& f, SidecarConfig& s) { s.name = f.string("name"); },
    [](const JsonFields& f, SidecarConfig& s) { s.listen_address = address(f, "listen"); },
    [](const JsonFields& f, SidecarConfig& s) {
      if (f.find("admin_addr")) s.admin_address = address(f, "admin_addr");
    },
    [](const JsonFields& f, SidecarConfig& s) {
      s.shared_directory = f.string(folder.second, "");
      const std::string fd = f.string(inherited.second, "");
      if (fd.empty()) return;
      int number = -1;
      const auto [end, fault] = std::from_chars(fd.data(), fd.data() + fd.size(), number);
      if (fault != std::errc() || end != fd.data() + fd.size() || number < 0)
        f.fail("LB_INHERITED_FD is not the number of a descriptor");
      s.inherited_listener_fd = number;
    },
    [](const JsonFields& f, SidecarConfig& s) {
      s.discovery_address = address(f, "discovery");
      s.discovery_host = f.string("discovery");
    },
    [](const JsonFields& f, SidecarConfig& s) {
      const std::string seed = f.string("seed");
      const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), s.seed, 16);
      if (fault != std::errc() || end != seed.data() + seed.size())
        f.fail("field seed is not a hexadecimal number");
    },
    [](const JsonFields& f, SidecarConfig& s) {
      // The operators' stated limits hold also where the config allows more.
      constexpr double most_mb = 192, most_descriptors = 1024, mb = 1024 * 1024;
      const JsonFields limits = f.object("limits");
      const double memory = limits.number("memory_mb", most_mb),
                   sockets = limits.number("sockets", most_descriptors);
      if (!(memory > 0) || !(sockets > 0)) f.fail("field limits allows nothing");
      s.max_memory_bytes = static_cast<std::size_t>(std::min(memory, most_mb) * mb);
      s.max_descriptors = static_cast<std::size_t>(std::min(sockets, most_descriptors));
    },
    [](const JsonFields& f, SidecarConfig& s) {
      if (f.find("known")) s.initial_endpoints = decode_endpoint_list(f.object("known"));
    },
    [](const JsonFields& f, SidecarConfig& s) {
      f.require("settings");
      s.load_balancer = decode_load_balancer_config(f.object("settings"));
      s.upstream = decode_connection_config(f.object("settings"));
    },
};

}  // namespace

SidecarConfig decode_sidecar_config(const nlohmann::json& j) {
  const JsonFields f("config", j);
  SidecarConfig s;
  for (const Part read : parts) read(f, s);
  return s;
}

void check_sidecar_config(const nlohmann::json& j, const std::function<void(const std::string&)>& fault) {
  const JsonFields f("config", j);
  SidecarConfig s;
  for (const Part read : parts) try {
      read(f, s);
    } catch (const ParseError& e) {
      fault(e.what());
    }
}

nlohmann::json read_config_json(const std::string& path, const Variables& variable) {
  return read_json(path, variable, {led_name, led_listen, led_discovery, led_second, inherited, folder});
}

SidecarConfig load_sidecar_config(const Variables& variable) {
  return decode_sidecar_config(read_config_json(path_of(variable), variable));
}

SidecarConfig reload_sidecar_config(const Variables& variable) {
  return decode_sidecar_config(
      read_json(path_of(variable), variable, {led_name, led_listen, led_second, inherited, folder}));
}

}  // namespace indigorill
