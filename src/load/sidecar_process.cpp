#include "load/sidecar_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <system_error>

namespace indigorill::load_generator {
namespace {

constexpr int exec_failed_status = 127;  // the status that a shell returns in this case
constexpr mode_t log_file_mode = 0600;

}  // namespace

TemporaryDirectory::TemporaryDirectory() {
  std::string name = (std::filesystem::temp_directory_path() / "indigorill-load-XXXXXX").string();
  if (!::mkdtemp(name.data()))
    throw std::system_error(errno, std::generic_category(), "can't create a directory for the configs");
  path = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path, ignored);
}

void SidecarProcess::start() {
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "can't start a sidecar");
  if (pid_ == 0) run_command();
}

// Runs in the child process.
void SidecarProcess::run_command() const {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (const auto& [name, value] : environment_) ::setenv(name.c_str(), value.c_str(), 1);
  const int log = ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_file_mode);
  if (log >= 0) ::dup2(log, STDERR_FILENO);
  ::execl(command_.c_str(), command_.c_str(), static_cast<char*>(nullptr));
  ::_exit(exec_failed_status);
}

void SidecarProcess::kill_and_wait() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void SidecarProcess::send_signal(int signal) {
  if (pid_ > 0) ::kill(pid_, signal);
}

bool SidecarProcess::has_exited() {
  if (pid_ <= 0 || ::waitpid(pid_, &wait_status_, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

bool SidecarProcess::exited_cleanly() const {
  return WIFEXITED(wait_status_) && WEXITSTATUS(wait_status_) == 0;
}

std::string SidecarProcess::last_line() const {
  std::ifstream log(log_file_);
  std::string last;
  for (std::string line; std::getline(log, line);) last = line;
  return last;
}

}  // namespace indigorill::load_generator
