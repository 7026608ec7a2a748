/// \file
/// A sidecar as a real process, started, signalled and ended by its own process id.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <utility>
#include <vector>

namespace indigorill::load_generator {

/// A temporary directory for the files of a run, removed by the destructor. The constructor throws
/// std::system_error if it can't create the directory.
struct TemporaryDirectory {
  std::filesystem::path path;
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
};

/// One process. The destructor kills it, and the kernel kills it when this program ends.
class SidecarProcess {
 public:
  /// Variables added to this program's environment.
  using Environment = std::vector<std::pair<std::string, std::string>>;

  /// The standard error of the process is appended to `log_file`.
  SidecarProcess(std::string command, Environment environment, std::string log_file)
      : command_(std::move(command)), environment_(std::move(environment)), log_file_(std::move(log_file)) {}
  ~SidecarProcess() { kill_and_wait(); }
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  /// Throws std::system_error if no process can be created.
  void start();
  void kill_and_wait();
  /// Does nothing if the process is not running.
  void send_signal(int signal);
  /// Whether the process has ended by itself since the last call.
  bool has_exited();
  bool is_running() const { return pid_ > 0; }
  /// Whether the process has ended by itself with status 0.
  bool exited_cleanly() const;
  /// The last line of the log file.
  std::string last_line() const;

 private:
  [[noreturn]] void run_command() const;

  std::string command_;
  Environment environment_;
  std::string log_file_;
  pid_t pid_ = 0;
  int wait_status_ = -1;
};

}  // namespace indigorill::load_generator
