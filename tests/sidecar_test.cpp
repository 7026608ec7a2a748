// A whole sidecar in a child process: its signals.
#include "proxy/sidecar.h"

#include <doctest/doctest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "support/host.h"
#include "support/parts.h"

using namespace host;

TEST_CASE(
    "SIGHUP: the watch moves to the file's discovery; a broken file changes nothing; SIGTERM ends all") {
  EventLoop loop;
  const std::string whole = endpoint_list_response(9, true, instance_json("a"));
  FakeServer before(loop, {whole});
  FakeServer after(
      loop, {endpoint_list_response(3, true, instance_json("a")), endpoint_list_response(4, false, "")});
  const std::string at = address_text(local_address(listen_on_loopback()));
  const std::string path = "sidecar-" + std::to_string(::getpid());
  const auto write = [&](const std::string& agent) {
    std::ofstream(path) << R"({"name":"n","listen":")" << at << R"(","discovery":")" << agent
                        << R"(","seed":"1","limits":{"sockets":64},"settings":{"methods":[{"name":"read",)"
                        << R"("effect":"retryable","deadline":1000000}]}})";
  };
  const std::string old_agent = address_text(before.address);
  const auto variable = [&](const char* name) {
    return std::string(name) == "LB_CONFIG"      ? path.c_str()
           : std::string(name) == "LB_DISCOVERY" ? old_agent.c_str()
                                                 : nullptr;
  };
  write(old_agent);
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::ostringstream text;
    Logger lines(text, LogLevel::error);
    run_sidecar(
        load_sidecar_config(variable), [&] { return reload_sidecar_config(variable); }, lines);
    ::_exit(0);
  }
  CHECK(run_until(loop, [&] { return before.request_targets.size() == 2; }));
  std::ofstream(path) << "{";
  ::kill(child, SIGHUP);
  run_for(loop, 50);
  CHECK_FALSE(before.connections[0]->is_ended);
  write(address_text(after.address));
  ::kill(child, SIGHUP);
  REQUIRE(run_until(loop, [&] { return after.request_targets.size() == 3; }));
  CHECK(after.request_targets[0] == "/api/targets");
  CHECK(after.request_targets[2] == "/api/targets?index=4&wait=2000");
  CHECK(before.connections[0]->is_ended);
  CHECK(before.connections.size() == 1);
  ::kill(child, SIGTERM);
  int status = -1;
  CHECK(::waitpid(child, &status, 0) == child);
  CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
  std::remove(path.c_str());
}
