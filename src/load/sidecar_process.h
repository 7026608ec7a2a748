/// \file
/// A sidecar as a real process, started, signalled and ended by its own process id.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <utility>
#include <vector>

namespace indigorill::load_generator {

/// A directory for the files of a run; removed with the object. The constructor throws std::system_error.
struct TemporaryDirectory {
  std::filesystem::path path;
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
};

/// One process; it is killed with the object, and ends with this program.
class SidecarProcess {
 public:
  using Environment = std::vector<std::pair<std::string, std::string>>;  ///< added to this program's own

  /// `log_file` gets what it writes to standard error.
  SidecarProcess(std::string command, Environment environment, std::string log_file)
      : command_(std::move(command)), environment_(std::move(environment)), log_file_(std::move(log_file)) {}
  ~SidecarProcess() { kill_and_wait(); }
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  /// Throws std::system_error where no process can be made.
  void start();
  void kill_and_wait();
  /// Does nothing where it does not run.
  void send_signal(int signal);
  /// Whether it has ended by itself since the last call.
  bool has_exited();
  bool is_running() const { return pid_ > 0; }
  /// Of one that has ended by itself: whether with status 0.
  bool exited_cleanly() const;
  /// Of the log file.
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
