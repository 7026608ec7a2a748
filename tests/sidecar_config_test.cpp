// Decoding of a sidecar's config, and the messages for invalid configs.
#include "config/sidecar_config.h"

#include <doctest/doctest.h>

#include <string>

namespace indigorill {

TEST_CASE("an invalid sidecar config is rejected with a one-line message") {
  const std::string valid_config =
      R"({"name":"n","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",)"
      R"("limits":{"cores":1.0,"memory_mb":2048,"sockets":300},"settings":{"methods":[{"name":"read","effect":)"
      R"("retryable","deadline":1000}],"bounds":{"keepalive":5000000,"connectTimeout":250000}}})";
  const SidecarConfig config = decode_sidecar_config(nlohmann::json::parse(valid_config));
  CHECK(config.seed == 0x8c1f30d27a5be964);
  CHECK(config.max_descriptors == 300);
  CHECK(config.max_memory_bytes == 192u * 1024 * 1024);
  CHECK(config.upstream.connect_timeout_ms == 250);
  struct {
    std::string from, to, message;
  } cases[] = {
      {R"("name":"n",)", "", "config.name is missing"},
      {"127.0.0.1:8000", "here", "config.listen is not an address and a port"},
      {"127.0.0.1:8500", "127.0.0.1:85000", "config.discovery is not an address and a port"},
      {"8c1f", "seed", "config.seed is not a hexadecimal number"},
      {R"("settings")", R"("other")", "config.settings is missing"},
      {"retryable", "odd", "config.settings.methods.effect has the unknown value \"odd\""},
      {R"("sockets":300)", R"("sockets":0)",
       "config.limits has a memory_mb or sockets value that is not above 0"},
      {R"("limits")", R"("known":{"generation":1},"limits")", "config.known.instances is missing"},
  };
  for (const auto& expected : cases) {
    std::string text = valid_config;
    text.replace(text.find(expected.from), expected.from.size(), expected.to);
    CAPTURE(text);
    CHECK_THROWS_WITH_AS(decode_sidecar_config(nlohmann::json::parse(text)), expected.message.c_str(),
                         ConfigError);
  }
  CHECK_THROWS_WITH_AS(load_sidecar_config([](const char*) -> const char* { return nullptr; }),
                       "LB_CONFIG does not name a config file", ConfigError);
  CHECK_THROWS_AS(load_sidecar_config([](const char*) { return "/nowhere/at/all"; }), ConfigError);
}

}  // namespace indigorill
