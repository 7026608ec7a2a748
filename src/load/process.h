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

#include "../net/socket.h"

namespace indigorill::loading {

sockaddr_in loopback_at(std::uint16_t port);
// A port for a process to come. It stays bound here, though not listened on, so that no other socket is given
// it meanwhile; the process binds it all the same (SO_REUSEADDR).
sockaddr_in free_place();
// One for datagrams, which can't be held while another process has it: let go of just before.
descriptor hold_for_datagrams(sockaddr_in& where);

struct folder {
  std::filesystem::path path;
  folder();
  ~folder();
};

// One process that we started; it ends with us.
class process {
 public:
  using variables = std::vector<std::pair<std::string, std::string>>;  // in the environment

  process(std::string what, variables with, std::string log)
      : command(std::move(what)), set(std::move(with)), log_file(std::move(log)) {}
  ~process() { kill(); }
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void start();
  void kill();             // SIGKILL, and its end is awaited
  void signal(int which);  // SIGTERM, SIGSTOP, SIGCONT, SIGHUP; nothing where it does not run
  bool ended();            // by itself
  bool runs() const { return pid > 0; }
  std::string last_line() const;

 private:
  std::string command;
  variables set;
  std::string log_file;
  pid_t pid = 0;
};

// The status of a GET, and what came with it; none where nobody answers within so many ms. The loop, and what
// else is on it, goes on meanwhile.
struct told_by {
  int status = 0;
  std::string body;
};
std::optional<told_by> get(loop& runs, const sockaddr_in& where, const std::string& path, double within);

// Whether it answers that it is ready, within so long.
bool ready(loop& runs, const sockaddr_in& where, double within, const std::function<bool()>& hopeless);

}  // namespace indigorill::loading
