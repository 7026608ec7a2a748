/// \file
/// The command line, the options file, the check of the config and the options, and the two log formats.
#include "config/options.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/command_line.h"

namespace indigorill {
namespace {

/// A temporary file with the given text, which the destructor deletes.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) : path_("/tmp/indigorill-options-XXXXXX") {
    const int fd = ::mkstemp(path_.data());
    REQUIRE(fd >= 0);
    ::close(fd);
    std::ofstream(path_) << text;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(path_.c_str()); }

  const char* path() const { return path_.c_str(); }

 private:
  std::string path_;
};

struct CommandResult {
  int status;
  std::string out;
  std::string err;
};

CommandResult run_command(std::vector<const char*> arguments,
                          const std::map<std::string, std::string>& variables = {}) {
  arguments.insert(arguments.begin(), "indigorill");
  const auto environment = [&](const char* name) -> const char* {
    const auto variable = variables.find(name);
    return variable == variables.end() ? nullptr : variable->second.c_str();
  };
  std::ostringstream out;
  std::ostringstream err;
  const int status =
      run_command_line(static_cast<int>(arguments.size()), arguments.data(), environment, out, err);
  return {status, out.str(), err.str()};
}

CommandResult check_files(const TemporaryFile& config, const TemporaryFile& options) {
  return run_command({"--check-config", "--config", config.path(), "--options", options.path()});
}

const char* const valid_config = R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
  "settings":{"methods":[{"name":"read","deadline":1000,"effect":"retryable"}]}})";

std::size_t count_lines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

TEST_CASE("the command line prints its help and rejects unknown arguments") {
  CHECK(run_command({"--help"}).status == 0);
  CHECK(run_command({"--help"}).out.find("--check-config") != std::string::npos);
  CHECK(run_command({"--version"}).out.find("indigorill 0.") == 0);
  for (const char* argument : {"--loud", "start", "--config"}) {
    CAPTURE(argument);
    const CommandResult result = run_command({argument});
    CHECK(result.status == 2);
    CHECK(result.out.empty());
    CHECK_FALSE(result.err.empty());
  }
}

TEST_CASE("startup with an invalid configuration prints the error and exits with status 1") {
  CHECK(run_command({}).err == "indigorill: LB_CONFIG does not name a config file\n");
  CHECK(run_command({}).status == 1);
  CHECK(run_command({}, {{"LB_CONFIG", "/nowhere"}}).err ==
        "indigorill: /nowhere: config file can't be read\n");
  const TemporaryFile broken("{");
  CHECK(run_command({"--config", broken.path()}, {{"LB_CONFIG", "/nowhere"}}).err ==
        "indigorill: " + std::string(broken.path()) + ": config file is not JSON\n");
  const TemporaryFile options("[log]\nlevel = \"loud\"\nform = \"xml\"\n");
  const CommandResult result = run_command({"--options", options.path()}, {{"LB_CONFIG", "/nowhere"}});
  CHECK(result.status == 1);
  CHECK(result.err.find("log.level is not one of debug, error, info, warning") != std::string::npos);
}

TEST_CASE("--check-config prints one line for each problem of both files") {
  const TemporaryFile good(valid_config);
  CHECK(run_command({"--check-config", "--config", good.path()}).status == 0);
  CHECK(run_command({"--check-config"}, {{"LB_CONFIG", good.path()}}).out == "sound\n");
  const CommandResult overridden =
      run_command({"--check-config"}, {{"LB_CONFIG", good.path()}, {"LB_LISTEN", "nowhere"}});
  CHECK(overridden.status == 1);
  CHECK(overridden.err == "config.listen is not an address and a port\n");
  const CommandResult two_problems = run_command(
      {"--check-config"}, {{"LB_CONFIG", good.path()}, {"LB_ADMIN_ADDR", "x"}, {"LB_INHERITED_FD", "three"}});
  CHECK(two_problems.status == 1);
  CHECK(two_problems.err ==
        "config.admin_addr is not an address and a port\n"
        "LB_INHERITED_FD is not a file descriptor number\n");
  const CommandResult wrong_fd = run_command({}, {{"LB_CONFIG", good.path()}, {"LB_INHERITED_FD", "999"}});
  CHECK(wrong_fd.status == 1);
  CHECK(wrong_fd.err == "indigorill: LB_INHERITED_FD does not name a listening TCP socket: 999\n");
  const TemporaryFile bad(
      R"({"name":3,"listen":"127.0.0.1:1","discovery":"x","seed":"zz","limits":{"sockets":0},
    "known":{"generation":-1},"settings":{"methods":[]}})");
  const TemporaryFile options("[log]\nform = \"xml\"\n[limits]\nsockets = 4\nmoon = 1\n");
  const CommandResult all = check_files(bad, options);
  CHECK(all.status == 1);
  CHECK(count_lines(all.err) == 9);
  for (const char* problem : {":2: log.form is not one of", ":4: limits.sockets is too low",
                              ":5: limits.moon is unknown", "config.name is", "config.discovery is",
                              "config.seed is", "config.limits has a memory_mb or sockets value",
                              "config.known.generation is", "config.settings lists no methods"}) {
    CAPTURE(problem);
    CHECK(all.err.find(problem) != std::string::npos);
  }
  const TemporaryFile list("[1]");
  CHECK(run_command({"--check-config", "--config", list.path()}).err == "config is not an object\n");
}

TEST_CASE("absent options have default values and invalid options are rejected") {
  const Options defaults = decode_options(toml::table{});
  CHECK(defaults.log_level == LogLevel::info);
  CHECK(defaults.log_format == LogFormat::text);
  CHECK(defaults.counters_interval_ms == 0);
  CHECK(defaults.max_descriptors > (std::size_t{1} << 40));
  const Options all =
      decode_options(toml::parse("[log]\nlevel = \"debug\"\nform = \"json\"\ncounters_every_s = "
                                 "2.5\n[limits]\nmemory_mb = 64\nsockets = 100\n"));
  CHECK(all.log_level == LogLevel::debug);
  CHECK(all.log_format == LogFormat::json);
  CHECK(all.counters_interval_ms == 2500);
  CHECK(all.max_memory_bytes == 64 * 1024 * 1024);
  CHECK(all.max_descriptors == 100);
  for (const char* text :
       {"log = 3", "[log]\nlevel = 3", "[log]\ncounters_every_s = 0.1", "[log]\ncounters_every_s = -1",
        "[limits]\nsockets = 1.5", "[limits]\nmemory_mb = \"all\"", "[other]"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(decode_options(toml::parse(text)), ConfigError);
  }
}

TEST_CASE("log lines are text or JSON objects with the same text") {
  std::ostringstream text;
  std::ostringstream json;
  {
    const Logger text_logger(text, LogLevel::info);
    const Logger json_logger(json, LogLevel::info, LogFormat::json);
    for (const Logger* logger : {&text_logger, &json_logger}) {
      logger->debug() << "unseen";
      (logger->info() << "list version " << 7 << ", whole").field("version", 7);
      logger->error() << "a \"quoted\" line\nand {} %v \xff";
    }
  }
  CHECK(text.str() ==
        "indigorill info: list version 7, whole\nindigorill error: a \"quoted\" line\nand {} %v \xff\n");
  std::istringstream lines(json.str());
  std::string first_line;
  std::string second_line;
  std::string rest;
  REQUIRE(std::getline(lines, first_line));
  REQUIRE(std::getline(lines, second_line));
  CHECK_FALSE(std::getline(lines, rest));
  const auto first = nlohmann::json::parse(first_line, nullptr, false);
  const auto second = nlohmann::json::parse(second_line, nullptr, false);
  REQUIRE(first.is_object());
  REQUIRE(second.is_object());
  CHECK(first["level"] == "info");
  CHECK(first["text"] == "list version 7, whole");
  CHECK(first_line.find("\"version\":7}") != std::string::npos);
  CHECK(first["at"].get<std::string>().size() == std::string("2000-01-01T00:00:00.000Z").size());
  CHECK(second["text"].get<std::string>().find("a \"quoted\" line\nand {} %v") == 0);
}

TEST_CASE("each problem of the cluster options is reported on a line of its own") {
  const TemporaryFile config(valid_config);
  const auto check = [&](const std::string& text) {
    const TemporaryFile options(text);
    return check_files(config, options);
  };
  const std::string valid_options = "[members]\nfleet = \"maps\"\nlisten = \"127.0.0.1:7900\"\n";
  CHECK(check(valid_options).status == 0);
  CHECK(check(valid_options + "seeds = [\"127.0.0.1:7901\"]\nperiod_ms = 500\ntimeout_ms = 200\n").status ==
        0);
  struct {
    const char* text;
    std::size_t problem_count;
    const char* problem;
  } cases[] = {
      {"[members]\n", 2, "members.fleet is missing"},
      {"[members]\nfleet = \"a b\"\nlisten = \"127.0.0.1:1\"\n", 1, "members.fleet is not a valid name"},
      {"[members]\nfleet = \"a\"\nlisten = \"here\"\n", 1, "members.listen is not an address"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:0\"\n", 1, "members.listen is not an address"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = \"x\"\n", 1, "seeds is not a list"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = [\"x\", \"127.0.0.1:1\"]\n", 2,
       "members.seeds contains the node's own address 127.0.0.1:1"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nperiod_ms = 10\n", 2, "period_ms is below 50 ms"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\ntimeout_ms = 600\n", 1,
       "must be above 0 and at most half of period_ms"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"a\", \"b\"]\n", 1,
       "has an even number of names"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"a\", \"a\", \"b c\"]\n", 2,
       "contains an invalid or repeated name: a"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"a\"]\nlease_ms = 2000\n", 1,
       "lease_ms is less than ten times"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nloud = 1\n", 1, "members.loud is unknown"},
  };
  for (const auto& expected : cases) {
    CAPTURE(std::string(expected.text));
    const CommandResult result = check(expected.text);
    CHECK(result.status == 1);
    CAPTURE(result.err);
    CHECK(count_lines(result.err) == expected.problem_count);
    CHECK(result.err.find(expected.problem) != std::string::npos);
  }
  std::string json = valid_config;
  json.replace(json.find("\"n\""), 3, "\"n m\"");
  const TemporaryFile config_with_invalid_name(json);
  const TemporaryFile options(valid_options);
  const CommandResult result = check_files(config_with_invalid_name, options);
  CHECK(result.status == 1);
  CHECK(result.err.find("config.name is not a valid name for a cluster member") != std::string::npos);
}

TEST_CASE("each problem of the quota options is reported on a line of its own") {
  const TemporaryFile config(valid_config);
  const std::string members =
      "[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"n\"]\nlease_ms = 6000\n";
  const std::string budgets = "[budgets]\nmost = 10\n";
  const std::string retries = "[budgets.further_picks]\na_second = 20\n";
  struct {
    std::string text;
    std::size_t problem_count;
    const char* problem;
  } cases[] = {
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n" + retries + "floor = 2\n", 0, ""},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n" + retries + "floor = 3\n", 1,
       "floor multiplied by budgets.most exceeds a_second"},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n" + retries + "floor = 0.5\n", 1,
       "is not a whole number"},
      {members + "[budgets]\nmost = 10\nshare_ms = 2000\n" + retries, 1,
       "must be above 0 and at most a third of lease_ms"},
      {members + "[budgets]\nmost = 10\nshare_ms = 500\n" + retries, 1, "less than three times timeout_ms"},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\nseat_s = 1\n" + retries, 1, "shorter than share_ms"},
      {members + "[budgets]\nmost = 0\nshare_ms = 1500\n" + retries, 1, "budgets.most is 0"},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n", 1, "no budget to allocate"},
      {budgets + retries, 1, "requires a leader"},
  };
  for (const auto& expected : cases) {
    CAPTURE(expected.text);
    const TemporaryFile options(expected.text);
    const CommandResult result = check_files(config, options);
    CAPTURE(result.err);
    CHECK(result.status == (expected.problem_count ? 1 : 0));
    CHECK(count_lines(result.err) == expected.problem_count);
    CHECK(result.err.find(expected.problem) != std::string::npos);
  }
}

}  // namespace
}  // namespace indigorill
