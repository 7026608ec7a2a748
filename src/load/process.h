// Sidecars as real processes that we start, stop and kill, each by its own id; and what they say on loopback.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "event/socket.h"
#include "event/tcp_stream.h"

namespace indigorill::loading {

sockaddr_in loopback_at(std::uint16_t port);
// A port for a process to come. It stays bound here, though not listened on, so that no other socket is given
// it meanwhile; the process binds it all the same (SO_REUSEADDR).
sockaddr_in reserve_port();
// One for datagrams, which can't be held while another process has it: let go of just before.
FileDescriptor reserve_datagram_port(sockaddr_in& where);

struct TemporaryDirectory {
  std::filesystem::path path;
  TemporaryDirectory();
  ~TemporaryDirectory();
};

// One process that we started; it ends with us.
class SidecarProcess {
 public:
  using Environment = std::vector<std::pair<std::string, std::string>>;  // in the environment

  SidecarProcess(std::string what, Environment with, std::string log)
      : command_(std::move(what)), environment_(std::move(with)), log_file_(std::move(log)) {}
  ~SidecarProcess() { kill_and_wait(); }
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  void start();
  void kill_and_wait();         // SIGKILL, and its end is awaited
  void send_signal(int which);  // SIGTERM, SIGSTOP, SIGCONT, SIGHUP; nothing where it does not run
  bool has_exited();            // by itself
  bool is_running() const { return pid_ > 0; }
  std::string last_line() const;

 private:
  std::string command_;
  Environment environment_;
  std::string log_file_;
  pid_t pid_ = 0;
};

// The status of a GET, and what came with it; none where nobody answers within so many ms. The loop, and what
// else is on it, goes on meanwhile.
struct HttpAnswer {
  int status = 0;
  std::string body;
};
std::optional<HttpAnswer> http_get(EventLoop& runs, const sockaddr_in& where, const std::string& path,
                                   double within);

// Whether it answers that it is ready, within so long.
bool wait_until_ready(EventLoop& runs, const sockaddr_in& where, double within,
                      const std::function<bool()>& hopeless);

}  // namespace indigorill::loading
