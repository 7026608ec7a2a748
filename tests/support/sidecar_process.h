/// \file
/// Test support: one sidecar as a separate process, with a config of one or more methods.
#pragma once

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "support/parts.h"

namespace host {

/// The settings in which the processes differ.
struct SettingsVariant {
  const char* description;
  int latency_target_ms;
  int deadline_ms;
  int connect_timeout_ms;
  int drain_grace_ms;
  bool allows_all;  // cancellation, probes, rejections with Retry-After, retries
};
inline constexpr SettingsVariant settings_variants[] = {
    {"short times, no optional features", 120, 150, 1200, 300, false},
    {"long times, all optional features", 1500, 3000, 250, 1000, true}};

/// A sidecar process that is killed at the end of its scope.
class SidecarProcess {
 public:
  sockaddr_in address;
  std::string config_path =
      "sidecar-" + std::to_string(::getpid()) + "-" + std::to_string(++instance_count) + ".json";
  std::string log_path = config_path + ".log";
  rlim_t descriptor_limit = 0;  // RLIMIT_NOFILE of the process; 0 for that of the test

  explicit SidecarProcess(const sockaddr_in& agent, const SettingsVariant& sidecar,
                          const std::string& known = "") {
    reserved_port_ = bind_on_loopback();
    address = local_address(reserved_port_);
    const auto us = [](int ms) { return std::to_string(ms * 1000); };
    const std::string allows = sidecar.allows_all ? "true" : "false";
    config_text =
        R"({"name":"n","listen":")" + address_text(address) + R"(","discovery":")" + address_text(agent) +
        R"(","seed":"1","limits":{"sockets":300},)" + known +
        R"("settings":{"methods":[{"name":"pay-9","effect":"fragile","deadline":)" + us(sidecar.deadline_ms) +
        R"(,"latencyTarget":)" + us(sidecar.latency_target_ms) + R"(}],"bounds":{"maxPicks":)" +
        (sidecar.allows_all ? "4" : "1") + R"(,"cancelling":)" + allows + R"(,"probes":)" + allows +
        R"(,"retryAfter":)" + allows + R"(,"maxRetryAfter":500000,"keepalive":5000000,"connectTimeout":)" +
        us(sidecar.connect_timeout_ms) + R"(},"rules":{"drainGrace":)" + us(sidecar.drain_grace_ms) + "}}}";
  }
  ~SidecarProcess() {
    kill_process();
    std::remove(config_path.c_str());
    std::remove(log_path.c_str());
  }
  void start(bool write_config = true) {
    if (write_config) std::ofstream(config_path) << config_text;
    reserved_port_ = {};
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (descriptor_limit > 0) {
      const rlimit limit{descriptor_limit, descriptor_limit};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::setenv("LB_CONFIG", config_path.c_str(), 1);
    if (!std::freopen(log_path.c_str(), "w", stderr)) ::_exit(126);
    ::execl(INDIGORILL_SIDECAR, INDIGORILL_SIDECAR, static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void kill_process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    pid_ = 0;
  }
  void send_signal(int signal_number) { ::kill(pid_, signal_number); }
  /// The most memory that the process has used so far, in bytes.
  std::size_t peak_memory_bytes() const {
    constexpr std::size_t bytes_per_kb = 1024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; status >> word;) {
      std::size_t peak_kb = 0;
      if (word == "VmHWM:" && status >> peak_kb) return peak_kb * bytes_per_kb;
    }
    return 0;
  }
  bool has_exited() {
    if (pid_ > 0 && ::waitpid(pid_, &wait_status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }
  bool exited_cleanly() const { return WIFEXITED(wait_status_) && WEXITSTATUS(wait_status_) == 0; }
  bool ready(EventLoop& loop) {
    for (const double end_ms = loop.now() + 20000; loop.now() < end_ms && !has_exited();) {
      FileDescriptorBudget budget{1};
      TestConnection client(loop, budget, start_connect(address), response);
      client.send("GET /-/ready HTTP/1.1\r\n\r\n");
      for (int i = 0; i < 20 && client.received.empty() && !client.is_ended; ++i) loop.run_once(5);
      if (!client.received.empty() && client.received[0].status == 200) return true;
      run_for(loop, 5);
    }
    return false;
  }
  std::string config_text;

 private:
  static inline int instance_count = 0;
  FileDescriptor reserved_port_;
  pid_t pid_ = 0;
  int wait_status_ = -1;
};

// The config's list that is known before the start, with one endpoint.
inline std::string known_endpoint_json(const sockaddr_in& endpoint) {
  return R"("known":{"generation":1,"reset":true,"instances":[{"instanceId":"a","hostPort":")" +
         address_text(endpoint) + R"(","lifecycle":"up"}]},)";
}

inline bool wait_for(EventLoop& loop, double max_ms, const std::function<bool()>& condition) {
  for (const double end_ms = loop.now() + max_ms; !condition();) {
    if (loop.now() > end_ms) return false;
    loop.run_once(2);
  }
  return true;
}

}  // namespace host
