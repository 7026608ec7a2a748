// The signals of a complete sidecar, which runs in a child process.
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

namespace host {

TEST_CASE("SIGHUP applies the discovery address only of a valid config file; SIGTERM ends the process") {
  EventLoop loop;
  const std::string complete_list = endpoint_list_response(9, true, instance_json("a"));
  FakeServer before(loop, {complete_list});
  FakeServer after(
      loop, {endpoint_list_response(3, true, instance_json("a")), endpoint_list_response(4, false, "")});
  const std::string listen_address = address_text(local_address(listen_on_loopback()));
  const std::string path = "sidecar-" + std::to_string(::getpid());
  const auto write = [&](const std::string& agent) {
    std::ofstream(path) << R"({"name":"n","listen":")" << listen_address << R"(","discovery":")" << agent
                        << R"(","seed":"1","limits":{"sockets":64},"settings":{"methods":[{"name":"read",)"
                        << R"("effect":"retryable","deadline":1000000}]}})";
  };
  const std::string old_agent = address_text(before.address);
  const auto environment = [&](const char* name) {
    return std::string(name) == "LB_CONFIG"      ? path.c_str()
           : std::string(name) == "LB_DISCOVERY" ? old_agent.c_str()
                                                 : nullptr;
  };
  write(old_agent);
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::ostringstream text;
    Logger logger(text, LogLevel::error);
    run_sidecar(
        load_sidecar_config(environment), [&] { return reload_sidecar_config(environment); }, logger);
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

}  // namespace host
