#include "config.h"

#include <algorithm>
#include <charconv>
#include <fstream>

namespace indigorill {
namespace {

sockaddr_in address(const fields& f, const char* field) {
  const auto a = parse_address(f.text(field));
  if (!a) f.fault("field " + std::string(field) + " is not an address and a port");
  return *a;
}

using variables = std::function<const char*(const char*)>;
using leading = std::initializer_list<std::pair<const char*, const char*>>;

// The variables in `led` say the same as the file did at the start, and lead.
nlohmann::json read_json(const std::string& path, const variables& variable, leading led) {
  if (path.empty()) throw malformed("LB_CONFIG names no config file");
  std::ifstream in(path);
  if (!in) throw malformed("config file " + path + " can't be read");
  nlohmann::json j = nlohmann::json::parse(in, nullptr, false);
  if (j.is_discarded()) throw malformed("config file " + path + " is not JSON");
  for (const auto& [from, to] : led)
    if (const char* v = variable(from); v && *v && j.is_object()) j[to] = v;
  return j;
}

std::string path_of(const variables& variable) {
  const char* path = variable("LB_CONFIG");
  return path ? path : "";
}

constexpr std::pair<const char*, const char*> led_name{"LB_NAME", "name"}, led_listen{"LB_LISTEN", "listen"},
    led_discovery{"LB_DISCOVERY", "discovery"}, led_second{"LB_ADMIN_ADDR", "admin_addr"};
// What is told by the environment alone stands in the object under the variable's own name.
constexpr std::pair<const char*, const char*> inherited{"LB_INHERITED_FD", "LB_INHERITED_FD"},
    folder{"TMPDIR", "TMPDIR"};

// Each reads one part, so that a check can go on after a fault.
using part = void (*)(const fields&, start&);
constexpr part parts[]{
    [](const fields& f, start& s) { s.name = f.text("name"); },
    [](const fields& f, start& s) { s.listen = address(f, "listen"); },
    [](const fields& f, start& s) {
      if (f.find("admin_addr")) s.second = address(f, "admin_addr");
    },
    [](const fields& f, start& s) {
      s.shared = f.text(folder.second, "");
      const std::string fd = f.text(inherited.second, "");
      if (fd.empty()) return;
      int number = -1;
      const auto [end, fault] = std::from_chars(fd.data(), fd.data() + fd.size(), number);
      if (fault != std::errc() || end != fd.data() + fd.size() || number < 0)
        f.fault("LB_INHERITED_FD is not the number of a descriptor");
      s.inherited = number;
    },
    [](const fields& f, start& s) {
      s.discovery = address(f, "discovery");
      s.discovery_host = f.text("discovery");
    },
    [](const fields& f, start& s) {
      const std::string seed = f.text("seed");
      const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), s.seed, 16);
      if (fault != std::errc() || end != seed.data() + seed.size())
        f.fault("field seed is not a hexadecimal number");
    },
    [](const fields& f, start& s) {
      // The operators' stated limits hold also where the config allows more.
      constexpr double most_mb = 192, most_descriptors = 1024, mb = 1024 * 1024;
      const fields limits = f.inner("limits");
      const double memory = limits.number("memory_mb", most_mb),
                   sockets = limits.number("sockets", most_descriptors);
      if (!(memory > 0) || !(sockets > 0)) f.fault("field limits allows nothing");
      s.memory = static_cast<std::size_t>(std::min(memory, most_mb) * mb);
      s.descriptors = static_cast<std::size_t>(std::min(sockets, most_descriptors));
    },
    [](const fields& f, start& s) {
      if (f.find("known")) s.known = decode_roster(f.inner("known"));
    },
    [](const fields& f, start& s) {
      f.need("settings");
      s.where = decode_settings(f.inner("settings"));
      s.with = decode_links(f.inner("settings"));
    },
};

}  // namespace

start decode_start(const nlohmann::json& j) {
  const fields f("config", j);
  start s;
  for (const part read : parts) read(f, s);
  return s;
}

void check_start(const nlohmann::json& j, const std::function<void(const std::string&)>& fault) {
  const fields f("config", j);
  start s;
  for (const part read : parts) try {
      read(f, s);
    } catch (const malformed& e) {
      fault(e.what());
    }
}

nlohmann::json read_config(const std::string& path, const variables& variable) {
  return read_json(path, variable, {led_name, led_listen, led_discovery, led_second, inherited, folder});
}

start read_start(const variables& variable) { return decode_start(read_config(path_of(variable), variable)); }

start read_again(const variables& variable) {
  return decode_start(
      read_json(path_of(variable), variable, {led_name, led_listen, led_second, inherited, folder}));
}

}  // namespace indigorill
