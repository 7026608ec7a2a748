#include "process.h"

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

#include "../net/http.h"

namespace indigorill::loading {

sockaddr_in loopback_at(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(port);
  return a;
}

namespace {

sockaddr_in place_of(const descriptor& fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
  return a;
}

}  // namespace

sockaddr_in free_place() {
  static std::vector<descriptor> held;
  const int on = 1;
  descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in any = loopback_at(0);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) < 0)
    throw std::runtime_error("no free port");
  held.push_back(std::move(fd));
  return place_of(held.back());
}

descriptor hold_for_datagrams(sockaddr_in& where) {
  descriptor fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  where = loopback_at(0);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) < 0)
    throw std::runtime_error("no place for datagrams");
  where = place_of(fd);
  return fd;
}

folder::folder() {
  std::string name = (std::filesystem::temp_directory_path() / "indigorill-load-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw std::runtime_error("can't make a folder for the configs");
  path = name;
}

folder::~folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path, ignored);
}

void process::start() {
  pid = ::fork();
  if (pid < 0) throw std::runtime_error("can't start a sidecar");
  if (pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (const auto& [name, value] : set) ::setenv(name.c_str(), value.c_str(), 1);
  const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (log >= 0) ::dup2(log, STDERR_FILENO);
  ::execl(command.c_str(), command.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

void process::kill() {
  if (pid <= 0) return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  pid = 0;
}

void process::signal(int which) {
  if (pid > 0) ::kill(pid, which);
}

bool process::ended() {
  if (pid <= 0 || ::waitpid(pid, nullptr, WNOHANG) != pid) return false;
  pid = 0;
  return true;
}

std::string process::last_line() const {
  std::ifstream in(log_file);
  std::string last;
  for (std::string line; std::getline(in, line);) last = line;
  return last;
}

std::optional<told_by> get(loop& runs, const sockaddr_in& where, const std::string& path, double within) {
  descriptor fd = connect_to(where);
  if (!fd) return {};
  descriptor_budget room{1};
  std::optional<told_by> got;
  bool over = false;
  http::reader reader(http::reader::kind::answer);
  outgoing out;
  out.own("GET " + path + " HTTP/1.1\r\nHost: app\r\n\r\n");
  std::unique_ptr<stream> wire;
  const auto turn = [&] {
    while (wire && !over) {
      if (!wire->write(out)) over = true;
      std::size_t n = 0;
      const stream::got read = wire->read(reader.room(), n);
      if (read == stream::got::nothing) return;
      if (read == stream::got::some) reader.fed(n);
      over |= read != stream::got::some || reader.now() != http::reader::state::reading;
      if (reader.now() == http::reader::state::whole) {
        const http::message m = reader.take();
        got = {m.status, std::string(m.body())};
      }
    }
  };
  wire = std::make_unique<stream>(runs, room, std::move(fd), [&](std::uint32_t) { turn(); });
  constexpr double pause = 10;
  for (const double end = runs.now() + within; !over && runs.now() < end;) runs.round(pause);
  return got;
}

bool ready(loop& runs, const sockaddr_in& where, double within, const std::function<bool()>& hopeless) {
  for (const double until = runs.now() + within; runs.now() < until && !hopeless();) {
    constexpr double once = 200, pause = 10;
    const auto answer = get(runs, where, "/-/ready", once);
    if (answer && answer->status == 200) return true;
    for (const double end = runs.now() + pause; runs.now() < end;) runs.round(pause);
  }
  return false;
}

}  // namespace indigorill::loading
