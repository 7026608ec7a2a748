// The event loop, and a stream on it.
#include "event/event_loop.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "event/socket.h"
#include "support/host.h"

using namespace host;

TEST_CASE("the loop: order of due times, nothing freed is called, a round is fair") {
  EventLoop loop;
  std::string order;
  const double now = loop.now();
  const auto later = loop.schedule_at(now + 2, [&] { order += 'b'; });
  const auto sooner = loop.schedule_at(now + 1, [&] { order += 'a'; });
  auto dropped = loop.schedule_at(now + 1, [&] { order += 'x'; });
  dropped.cancel();
  EventLoop::Timer endless;
  const std::function<void()> set_endless = [&] {
    endless = loop.schedule_at(loop.now(), [&] {
      order += 'e';
      set_endless();
    });
  };
  run_for(loop, 5);
  CHECK(order == "ab");
  set_endless();
  loop.run_once(5);
  CHECK(order.size() < 20);

  FileDescriptorBudget budget{10};
  int ends[4];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends + 2) == 0);
  std::unique_ptr<TcpStream> one;
  std::unique_ptr<TcpStream> two;
  int calls = 0;
  one = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[0]), [&](std::uint32_t) {
    ++calls;
    two.reset();
  });
  two = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[2]), [&](std::uint32_t) {
    ++calls;
    one.reset();
  });
  loop.run_once(5);  // both are writable in one batch
  CHECK(calls == 1);
  CHECK(budget.open_count == 1);
  ::close(ends[1]);
  ::close(ends[3]);
}

TEST_CASE("a long message goes out as the other side reads it") {
  EventLoop loop;
  FileDescriptorBudget budget{10};
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const FileDescriptor other(ends[1]);
  WriteBuffer out;
  std::string want;
  for (int i = 0; i < 3000; ++i) want += std::string(997, static_cast<char>('a' + i % 26));
  for (std::size_t i = 0; i < want.size(); i += 997)
    out.append_borrowed(std::string_view(want).substr(i, 997));
  std::unique_ptr<TcpStream> to;
  to = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[0]),
                                   [&](std::uint32_t) { CHECK(to->write(out)); });
  std::string got;
  std::string piece(100000, 0);
  CHECK(run_until(loop, [&] {
    const ssize_t n = ::recv(other.get(), piece.data(), piece.size(), 0);
    if (n > 0) got.append(piece, 0, static_cast<std::size_t>(n));
    return got.size() >= want.size();
  }));
  CHECK(got == want);
  CHECK(out.is_complete());
}
