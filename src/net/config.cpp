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

// The variables in `led` say the same as the file did at the start, and lead.
start read_file(const std::function<const char*(const char*)>& variable,
                std::initializer_list<std::pair<const char*, const char*>> led) {
  const char* path = variable("LB_CONFIG");
  if (!path || !*path) throw malformed("LB_CONFIG names no config file");
  std::ifstream in(path);
  if (!in) throw malformed("config file " + std::string(path) + " can't be read");
  nlohmann::json j = nlohmann::json::parse(in, nullptr, false);
  if (j.is_discarded()) throw malformed("config file " + std::string(path) + " is not JSON");
  for (const auto& [from, to] : led)
    if (const char* v = variable(from); v && *v && j.is_object()) j[to] = v;
  return decode_start(j);
}

constexpr std::pair<const char*, const char*> led_name{"LB_NAME", "name"}, led_listen{"LB_LISTEN", "listen"},
    led_discovery{"LB_DISCOVERY", "discovery"};

}  // namespace

start decode_start(const nlohmann::json& j) {
  const fields f("config", j);
  start s;
  s.name = f.text("name");
  s.listen = address(f, "listen");
  s.discovery = address(f, "discovery");
  s.discovery_host = f.text("discovery");
  const std::string seed = f.text("seed");
  const auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), s.seed, 16);
  if (fault != std::errc() || end != seed.data() + seed.size())
    f.fault("field seed is not a hexadecimal number");
  // The operators' stated limits hold also where the config allows more.
  constexpr double most_mb = 192, most_descriptors = 1024, mb = 1024 * 1024;
  const fields limits = f.inner("limits");
  const double memory = limits.number("memory_mb", most_mb),
               sockets = limits.number("sockets", most_descriptors);
  if (!(memory > 0) || !(sockets > 0)) f.fault("field limits allows nothing");
  s.memory = static_cast<std::size_t>(std::min(memory, most_mb) * mb);
  s.descriptors = static_cast<std::size_t>(std::min(sockets, most_descriptors));
  if (f.find("known")) s.known = decode_roster(f.inner("known"));
  f.need("settings");
  s.where = decode_settings(f.inner("settings"));
  s.with = decode_links(f.inner("settings"));
  return s;
}

start read_start(const std::function<const char*(const char*)>& variable) {
  return read_file(variable, {led_name, led_listen, led_discovery});
}

start read_again(const std::function<const char*(const char*)>& variable) {
  return read_file(variable, {led_name, led_listen});
}

}  // namespace indigorill
