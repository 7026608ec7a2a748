#include "load/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>

#include "http/http_parser.h"

namespace indigorill::loading {

sockaddr_in loopback_at(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(port);
  return a;
}

namespace {

sockaddr_in bound_address(const FileDescriptor& fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
  return a;
}

}  // namespace

sockaddr_in reserve_port() {
  static std::vector<FileDescriptor> held;
  const int on = 1;
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in any = loopback_at(0);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) < 0)
    throw std::runtime_error("no free port");
  held.push_back(std::move(fd));
  return bound_address(held.back());
}

FileDescriptor reserve_datagram_port(sockaddr_in& where) {
  FileDescriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  where = loopback_at(0);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) < 0)
    throw std::runtime_error("no place for datagrams");
  where = bound_address(fd);
  return fd;
}

TemporaryDirectory::TemporaryDirectory() {
  std::string name = (std::filesystem::temp_directory_path() / "indigorill-load-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw std::runtime_error("can't make a folder for the configs");
  path = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path, ignored);
}

void SidecarProcess::start() {
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("can't start a sidecar");
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (const auto& [name, value] : environment_) ::setenv(name.c_str(), value.c_str(), 1);
  const int log = ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (log >= 0) ::dup2(log, STDERR_FILENO);
  ::execl(command_.c_str(), command_.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

void SidecarProcess::kill_and_wait() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void SidecarProcess::send_signal(int which) {
  if (pid_ > 0) ::kill(pid_, which);
}

bool SidecarProcess::has_exited() {
  if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

std::string SidecarProcess::last_line() const {
  std::ifstream in(log_file_);
  std::string last;
  for (std::string line; std::getline(in, line);) last = line;
  return last;
}

std::optional<HttpAnswer> http_get(EventLoop& runs, const sockaddr_in& where, const std::string& path,
                                   double within) {
  FileDescriptor fd = start_connect(where);
  if (!fd) return {};
  FileDescriptorBudget room{1};
  std::optional<HttpAnswer> got;
  bool over = false;
  http::HttpParser reader(http::HttpParser::MessageKind::response);
  WriteBuffer out;
  out.append_owned("GET " + path + " HTTP/1.1\r\nHost: app\r\n\r\n");
  std::unique_ptr<TcpStream> wire;
  const auto turn = [&] {
    while (wire && !over) {
      if (!wire->write(out)) over = true;
      std::size_t n = 0;
      const TcpStream::ReadStatus read = wire->read(reader.writable_buffer(), n);
      if (read == TcpStream::ReadStatus::would_block) return;
      if (read == TcpStream::ReadStatus::data) reader.commit(n);
      over |= read != TcpStream::ReadStatus::data || reader.state() != http::HttpParser::ParseState::reading;
      if (reader.state() == http::HttpParser::ParseState::complete) {
        const http::Message m = reader.take_message();
        got = {m.status, std::string(m.body())};
      }
    }
  };
  wire = std::make_unique<TcpStream>(runs, room, std::move(fd), [&](std::uint32_t) { turn(); });
  constexpr double pause = 10;
  for (const double end = runs.now() + within; !over && runs.now() < end;) runs.run_once(pause);
  return got;
}

bool wait_until_ready(EventLoop& runs, const sockaddr_in& where, double within,
                      const std::function<bool()>& hopeless) {
  for (const double until = runs.now() + within; runs.now() < until && !hopeless();) {
    constexpr double once = 200, pause = 10;
    const auto answer = http_get(runs, where, "/-/ready", once);
    if (answer && answer->status == 200) return true;
    for (const double end = runs.now() + pause; runs.now() < end;) runs.run_once(pause);
  }
  return false;
}

}  // namespace indigorill::loading
