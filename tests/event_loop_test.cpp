// Tests of the event loop and of a stream on it.
#include "event/event_loop.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "event/socket.h"
#include "support/host.h"

namespace host {

TEST_CASE(
    "timers fire in order of due time and cancelled handles are not called and self-renewing timers do not "
    "block the loop") {
  EventLoop loop;
  std::string order;
  const double now = loop.now();
  const auto later = loop.schedule_at(now + 2, [&] { order += 'b'; });
  const auto sooner = loop.schedule_at(now + 1, [&] { order += 'a'; });
  auto cancelled = loop.schedule_at(now + 1, [&] { order += 'x'; });
  cancelled.cancel();
  EventLoop::Timer self_renewing;
  const std::function<void()> schedule_self_renewing = [&] {
    self_renewing = loop.schedule_at(loop.now(), [&] {
      order += 'e';
      schedule_self_renewing();
    });
  };
  run_for(loop, 5);
  CHECK(order == "ab");
  schedule_self_renewing();
  loop.run_once(5);
  CHECK(order.size() < 20);

  FileDescriptorBudget budget{10};
  int ends[4];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends + 2) == 0);
  std::unique_ptr<TcpStream> first;
  std::unique_ptr<TcpStream> second;
  int calls = 0;
  first = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[0]), [&](std::uint32_t) {
    ++calls;
    second.reset();
  });
  second = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[2]), [&](std::uint32_t) {
    ++calls;
    first.reset();
  });
  loop.run_once(5);  // both are writable in one iteration
  CHECK(calls == 1);
  CHECK(budget.open_count == 1);
  ::close(ends[1]);
  ::close(ends[3]);
}

TEST_CASE("a long message is written completely as the peer reads it") {
  EventLoop loop;
  FileDescriptorBudget budget{10};
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const FileDescriptor peer(ends[1]);
  WriteBuffer output;
  std::string expected;
  for (int i = 0; i < 3000; ++i) expected += std::string(997, static_cast<char>('a' + i % 26));
  for (std::size_t i = 0; i < expected.size(); i += 997)
    output.append_borrowed(std::string_view(expected).substr(i, 997));
  std::unique_ptr<TcpStream> stream;
  stream = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[0]),
                                       [&](std::uint32_t) { CHECK(stream->write(output)); });
  std::string received;
  std::string piece(100000, 0);
  CHECK(run_until(loop, [&] {
    const ssize_t count = ::recv(peer.get(), piece.data(), piece.size(), 0);
    if (count > 0) received.append(piece, 0, static_cast<std::size_t>(count));
    return received.size() >= expected.size();
  }));
  CHECK(received == expected);
  CHECK(output.is_complete());
}

// Guards against dispatches that double in each iteration.
TEST_CASE("a watch that is requeued several times is dispatched once in the next iteration") {
  EventLoop loop;
  FileDescriptorBudget budget{10};
  int ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const FileDescriptor peer(ends[1]);
  int calls = 0;
  std::unique_ptr<TcpStream> stream;
  stream = std::make_unique<TcpStream>(loop, budget, FileDescriptor(ends[0]), [&](std::uint32_t) {
    ++calls;
    stream->requeue();
    stream->requeue();
  });
  loop.run_once(0);  // the socket is writable
  for (int i = 0; i < 10; ++i) {
    const int before = calls;
    loop.run_once(0);
    CHECK(calls == before + 1);
  }
}

}  // namespace host
