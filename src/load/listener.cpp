#include "listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <vector>

namespace indigorill::loading {

struct listener::side {
  std::uint64_t name;
  std::unique_ptr<stream> wire;
  http::reader reader{http::reader::kind::request};
  outgoing out;
};

std::string text_of(const sockaddr_in& a) {
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &a.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(ntohs(a.sin_port));
}

listener::listener(loop& in, descriptor_budget& budget, asked what,
                   std::function<void(std::uint64_t)> on_close, std::uint16_t port)
    : runs(in), counted(budget), then(std::move(what)), closed(std::move(on_close)) {
  place.sin_port = htons(port);
  place.sin_family = AF_INET;
  place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
}

listener::~listener() = default;

void listener::open() {
  frozen = false;
  door = listen_on(place);
  socklen_t size = sizeof place;
  ::getsockname(door.get(), reinterpret_cast<sockaddr*>(&place), &size);
  at_door = runs.on(door.get(), [this](std::uint32_t) { accept(); });
}

void listener::shut() {
  at_door.drop();
  door = descriptor();
  std::vector<std::uint64_t> all;
  for (const auto& [name, s] : sides) all.push_back(name);
  for (const std::uint64_t name : all) close(name);
}

void listener::accept() {
  while (!frozen && door) {
    descriptor fd(::accept4(door.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) return;
    const std::uint64_t name = ++names;
    auto s = std::make_unique<side>();
    s->name = name;
    s->wire =
        std::make_unique<stream>(runs, counted, std::move(fd), [this, name](std::uint32_t) { read(name); });
    sides.emplace(name, std::move(s));
    read(name);
  }
}

void listener::read(std::uint64_t which) {
  for (;;) {
    const auto it = sides.find(which);
    if (it == sides.end() || frozen) return;
    side& s = *it->second;
    write(s);
    std::size_t n = 0;
    const stream::got got = s.wire->read(s.reader.room(), n);
    if (got == stream::got::nothing) return;
    if (got != stream::got::some) return close(which);
    s.reader.fed(n);
    if (s.reader.now() == http::reader::state::broken) return close(which);
    if (s.reader.now() == http::reader::state::whole) {
      const http::message m = s.reader.take();
      then(which, m);
    }
  }
}

void listener::answer(std::uint64_t which, std::string bytes) {
  const auto it = sides.find(which);
  if (it == sides.end()) return;
  if (it->second->out.done()) it->second->out = {};
  it->second->out.own(std::move(bytes));
  write(*it->second);
}

void listener::write(side& s) {
  // What can't be written now is when the socket is ready again; a broken one is found by reading.
  if (!frozen && !s.out.done()) s.wire->write(s.out);
}

void listener::close(std::uint64_t which) {
  if (sides.erase(which) > 0) closed(which);
}

}  // namespace indigorill::loading
