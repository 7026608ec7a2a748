// The command line, the options' file, the check of both files, and the two forms of log lines.
#include "config/options.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/command_line.h"

using namespace indigorill;

namespace {

struct File {
  std::string path;
  explicit File(const std::string& text) {
    path = "/tmp/indigorill-options-XXXXXX";
    const int fd = ::mkstemp(path.data());
    REQUIRE(fd >= 0);
    ::close(fd);
    std::ofstream(path) << text;
  }
  ~File() { std::remove(path.c_str()); }
};

struct Called {
  int status;
  std::string out, err;
};
Called call(std::vector<const char*> words, std::map<std::string, std::string> variables = {}) {
  words.insert(words.begin(), "indigorill");
  std::ostringstream out, err;
  const int status = run_command_line(
      static_cast<int>(words.size()), words.data(),
      [&](const char* name) -> const char* {
        const auto it = variables.find(name);
        return it == variables.end() ? nullptr : it->second.c_str();
      },
      out, err);
  return {status, out.str(), err.str()};
}

const char* sound = R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
  "settings":{"methods":[{"name":"read","deadline":1000,"effect":"retryable"}]}})";

std::size_t lines_in(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

}  // namespace

TEST_CASE("the command line says what it can do, and refuses other words") {
  CHECK(call({"--help"}).status == 0);
  CHECK(call({"--help"}).out.find("--check-config") != std::string::npos);
  CHECK(call({"--version"}).out.find("indigorill 0.") == 0);
  for (const char* words : {"--loud", "start", "--config"}) {
    CAPTURE(words);
    const Called c = call({words});
    CHECK(c.status == 2);
    CHECK(c.out.empty());
    CHECK_FALSE(c.err.empty());
  }
}

TEST_CASE("without a config there is one line and exit status 1, as ever") {
  CHECK(call({}).err == "indigorill: LB_CONFIG names no config file\n");
  CHECK(call({}).status == 1);
  CHECK(call({}, {{"LB_CONFIG", "/nowhere"}}).err == "indigorill: config file /nowhere can't be read\n");
  const File broken("{");
  CHECK(call({"--config", broken.path.c_str()}, {{"LB_CONFIG", "/nowhere"}}).err ==
        "indigorill: config file " + broken.path + " is not JSON\n");
  const File options("[log]\nlevel = \"loud\"\nform = \"xml\"\n");
  const Called c = call({"--options", options.path.c_str()}, {{"LB_CONFIG", "/nowhere"}});
  CHECK(c.status == 1);
  CHECK(c.err.find("log.level is none of debug, error, info, warning") != std::string::npos);
}

TEST_CASE("a check names every fault of both files, a line each") {
  const File good(sound);
  CHECK(call({"--check-config", "--config", good.path.c_str()}).status == 0);
  CHECK(call({"--check-config"}, {{"LB_CONFIG", good.path}}).out == "sound\n");
  const Called led = call({"--check-config"}, {{"LB_CONFIG", good.path}, {"LB_LISTEN", "nowhere"}});
  CHECK(led.status == 1);
  CHECK(led.err == "config: field listen is not an address and a port\n");
  const Called second = call(
      {"--check-config"}, {{"LB_CONFIG", good.path}, {"LB_ADMIN_ADDR", "x"}, {"LB_INHERITED_FD", "three"}});
  CHECK(second.status == 1);
  CHECK(second.err ==
        "config: field admin_addr is not an address and a port\n"
        "config: LB_INHERITED_FD is not the number of a descriptor\n");
  const Called closed = call({}, {{"LB_CONFIG", good.path}, {"LB_INHERITED_FD", "999"}});
  CHECK(closed.status == 1);
  CHECK(closed.err == "indigorill: LB_INHERITED_FD names no listening TCP socket: 999\n");
  const File bad(R"({"name":3,"listen":"127.0.0.1:1","discovery":"x","seed":"zz","limits":{"sockets":0},
    "known":{"generation":-1},"settings":{"methods":[]}})");
  const File options("[log]\nform = \"xml\"\n[limits]\nsockets = 4\nmoon = 1\n");
  const Called all =
      call({"--check-config", "--config", bad.path.c_str(), "--options", options.path.c_str()});
  CHECK(all.status == 1);
  CHECK(lines_in(all.err) == 9);
  for (const char* part :
       {":2: log.form is none of", ":4: limits.sockets allows too few", ":5: limits.moon is unknown",
        "field name", "field discovery", "field seed", "field limits", "generation", "names no methods"}) {
    CAPTURE(part);
    CHECK(all.err.find(part) != std::string::npos);
  }
  const File list("[1]");
  CHECK(call({"--check-config", "--config", list.path.c_str()}).err == "config: is not an object\n");
}

TEST_CASE("the options' file is read as a whole; what is absent stays as it was") {
  const Options none = decode_options(toml::table{});
  CHECK(none.log_level == LogLevel::info);
  CHECK(none.log_format == LogFormat::text);
  CHECK(none.counters_interval_ms == 0);
  CHECK(none.max_descriptors > (std::size_t{1} << 40));
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

TEST_CASE("log lines keep their words as text, and are whole JSON objects where that is asked for") {
  std::ostringstream text, json;
  {
    const Logger plain(text, LogLevel::info), objects(json, LogLevel::info, LogFormat::json);
    for (const Logger* l : {&plain, &objects}) {
      l->debug() << "unseen";
      (l->info() << "list version " << 7 << ", whole").field("version", 7);
      l->error() << "a \"quoted\" line\nand {} %v \xff";
    }
  }
  CHECK(text.str() ==
        "indigorill info: list version 7, whole\nindigorill error: a \"quoted\" line\nand {} %v \xff\n");
  std::istringstream lines(json.str());
  std::string one, two, rest;
  REQUIRE(std::getline(lines, one));
  REQUIRE(std::getline(lines, two));
  CHECK_FALSE(std::getline(lines, rest));
  const auto first = nlohmann::json::parse(one, nullptr, false),
             second = nlohmann::json::parse(two, nullptr, false);
  REQUIRE(first.is_object());
  REQUIRE(second.is_object());
  CHECK(first["level"] == "info");
  CHECK(first["text"] == "list version 7, whole");
  CHECK(one.find("\"version\":7}") != std::string::npos);
  CHECK(first["at"].get<std::string>().size() == std::string("2000-01-01T00:00:00.000Z").size());
  CHECK(second["text"].get<std::string>().find("a \"quoted\" line\nand {} %v") == 0);
}

TEST_CASE("options of members are checked as a whole, a line a fault") {
  const File config(sound);
  const auto check = [&](const std::string& text) {
    const File options(text);
    return call({"--check-config", "--config", config.path.c_str(), "--options", options.path.c_str()});
  };
  const std::string whole = "[members]\nfleet = \"maps\"\nlisten = \"127.0.0.1:7900\"\n";
  CHECK(check(whole).status == 0);
  CHECK(check(whole + "seeds = [\"127.0.0.1:7901\"]\nperiod_ms = 500\ntimeout_ms = 200\n").status == 0);
  struct {
    const char* text;
    std::size_t faults;
    const char* says;
  } rows[] = {
      {"[members]\n", 2, "members.fleet is missing"},
      {"[members]\nfleet = \"a b\"\nlisten = \"127.0.0.1:1\"\n", 1, "members.fleet is no name"},
      {"[members]\nfleet = \"a\"\nlisten = \"here\"\n", 1, "members.listen is not an address"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:0\"\n", 1, "members.listen is not an address"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = \"x\"\n", 1, "seeds is not a list"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = [\"x\", \"127.0.0.1:1\"]\n", 2,
       "members.seeds holds this one's own address 127.0.0.1:1"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nperiod_ms = 10\n", 2, "period_ms is under 50"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\ntimeout_ms = 600\n", 1,
       "at most half of period_ms"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"a\", \"b\"]\n", 1, "even in number"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"a\", \"a\", \"b c\"]\n", 2,
       "or one twice: a"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"a\"]\nlease_ms = 2000\n", 1,
       "lease_ms is under ten times"},
      {"[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nloud = 1\n", 1, "members.loud is unknown"},
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.text));
    const Called c = check(row.text);
    CHECK(c.status == 1);
    CAPTURE(c.err);
    CHECK(lines_in(c.err) == row.faults);
    CHECK(c.err.find(row.says) != std::string::npos);
  }
  std::string odd = sound;
  odd.replace(odd.find("\"n\""), 3, "\"n m\"");
  const File strange(odd), options(whole);
  const Called c =
      call({"--check-config", "--config", strange.path.c_str(), "--options", options.path.c_str()});
  CHECK(c.status == 1);
  CHECK(c.err.find("field name is no name among members") != std::string::npos);
}

TEST_CASE("options of budgets are checked as a whole, a line a fault") {
  const File config(sound);
  const std::string members =
      "[members]\nfleet = \"a\"\nlisten = \"127.0.0.1:1\"\nvoters = [\"n\"]\nlease_ms = 6000\n";
  const std::string budgets = "[budgets]\nmost = 10\n", picks = "[budgets.further_picks]\na_second = 20\n";
  struct {
    std::string text;
    std::size_t faults;
    const char* says;
  } rows[] = {
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n" + picks + "floor = 2\n", 0, ""},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n" + picks + "floor = 3\n", 1,
       "floor times the most sidecars is over the whole"},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n" + picks + "floor = 0.5\n", 1,
       "is not a whole number"},
      {members + "[budgets]\nmost = 10\nshare_ms = 2000\n" + picks, 1, "at most a third of lease_ms"},
      {members + "[budgets]\nmost = 10\nshare_ms = 500\n" + picks, 1, "under three times timeout_ms"},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\nseat_s = 1\n" + picks, 1, "shorter than share_ms"},
      {members + "[budgets]\nmost = 0\nshare_ms = 1500\n" + picks, 1, "budgets.most is 0"},
      {members + "[budgets]\nmost = 10\nshare_ms = 1500\n", 1, "nothing to divide"},
      {budgets + picks, 1, "has nobody to divide"},
  };
  for (const auto& row : rows) {
    CAPTURE(row.text);
    const File options(row.text);
    const Called c =
        call({"--check-config", "--config", config.path.c_str(), "--options", options.path.c_str()});
    CAPTURE(c.err);
    CHECK(c.status == (row.faults ? 1 : 0));
    CHECK(lines_in(c.err) == row.faults);
    CHECK(c.err.find(row.says) != std::string::npos);
  }
}
