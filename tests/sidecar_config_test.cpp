// A sidecar's config: what is read from it, and the one line that says what is wrong.
#include "config/sidecar_config.h"

#include <doctest/doctest.h>

#include <string>

using namespace indigorill;

TEST_CASE("a start without a sound config fails in one plain line") {
  const std::string sound =
      R"({"name":"n","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",)"
      R"("limits":{"cores":1.0,"memory_mb":2048,"sockets":300},"settings":{"methods":[{"name":"read","effect":)"
      R"("retryable","deadline":1000}],"bounds":{"keepalive":5000000,"connectTimeout":250000}}})";
  const SidecarConfig s = decode_sidecar_config(nlohmann::json::parse(sound));
  CHECK(s.seed == 0x8c1f30d27a5be964);
  CHECK(s.max_descriptors == 300);
  CHECK(s.max_memory_bytes == 192u * 1024 * 1024);
  CHECK(s.upstream.connect_timeout_ms == 250);
  struct {
    std::string from, to, said;
  } table[] = {
      {R"("name":"n",)", "", "config: field name is missing"},
      {"127.0.0.1:8000", "here", "config: field listen is not an address and a port"},
      {"127.0.0.1:8500", "127.0.0.1:85000", "config: field discovery is not an address and a port"},
      {"8c1f", "seed", "config: field seed is not a hexadecimal number"},
      {R"("settings")", R"("other")", "config: field settings is missing"},
      {"retryable", "odd", "config.settings.methods: field effect has the unknown word \"odd\""},
      {R"("sockets":300)", R"("sockets":0)", "config: field limits allows nothing"},
      {R"("limits")", R"("known":{"generation":1},"limits")", "config.known: field instances is missing"},
  };
  for (const auto& row : table) {
    std::string text = sound;
    text.replace(text.find(row.from), row.from.size(), row.to);
    CAPTURE(text);
    CHECK_THROWS_WITH_AS(decode_sidecar_config(nlohmann::json::parse(text)), row.said.c_str(), ParseError);
  }
  CHECK_THROWS_WITH_AS(load_sidecar_config([](const char*) -> const char* { return nullptr; }),
                       "LB_CONFIG names no config file", ParseError);
  CHECK_THROWS_AS(load_sidecar_config([](const char*) { return "/nowhere/at/all"; }), ParseError);
}
