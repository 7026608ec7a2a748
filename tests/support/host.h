// For the tests: a host of one balancer with two methods and a small fleet, and stand-ins on loopback for
// what a sidecar talks to. Stand-ins live in the sidecar's own loop, so that no test waits or races.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/header_codec.h"
#include "indigorill/load_balancer.h"

namespace host {

using namespace indigorill;
using Action = Decision::Action;

inline LoadBalancerConfig test_config(RetrySafety repeats = RetrySafety::idempotent,
                                      DeduplicationScope drops = DeduplicationScope::global) {
  LoadBalancerConfig t;
  t.methods = {{"read", 100, 1, 0, repeats, drops, 200}, {"vital", 100, 10, 0, repeats, drops, 200}};
  t.zone = "here";
  t.max_attempts = 4;
  t.cancellation_enabled = true;
  t.max_retry_after_ms = 1000;
  t.slow_start_initial_weight = 0.2;
  t.slow_start_duration_ms = 20000;
  t.slow_start_overload_factor = 3;
  t.slow_start_burst_ms = 1000;
  return t;
}

inline Endpoint make_endpoint(std::string id, double started = 0, EndpointState state = EndpointState::ready,
                              std::string zone = "here", int cell = 0) {
  return {std::move(id), std::move(zone), cell, started, state};
}

// Warm servers named by the letters from first to last.
inline std::vector<Endpoint> make_endpoints(char first, char last, const std::string& zone = "here") {
  std::vector<Endpoint> all;
  for (char c = first; c <= last; ++c)
    all.push_back(make_endpoint(std::string(1, c), 0, EndpointState::ready, zone));
  return all;
}

struct LoadBalancerHarness {
  LoadBalancer load_balancer;
  double now = 1000;
  int next_rpc_number = 0;

  explicit LoadBalancerHarness(LoadBalancerConfig t = test_config(), std::uint64_t seed = 1)
      : load_balancer(std::move(t), seed, 0) {}

  void update_endpoints(const std::vector<Endpoint>& entries) {
    load_balancer.update_endpoints(now, true, false, entries);
  }

  // All decisions now; wake-ups left out.
  std::vector<Decision> take_decisions() {
    std::vector<Decision> all;
    while (auto d = load_balancer.next_decision())
      if (d->action != Action::set_timer) all.push_back(*d);
    return all;
  }
  void run_maintenance_until(double until) {
    while (now < until) {
      now += 100;
      load_balancer.on_timer(now, 1);
      load_balancer.on_timer(now, 2);
      take_decisions();
    }
  }
  Decision only_decision() {
    const auto all = take_decisions();
    return all.size() == 1 ? all.front() : Decision{Action::set_timer, "", "none, or several", 0, 0, 0};
  }
  std::string start_rpc(const char* method = "read", double patience = 300) {
    std::string id = std::to_string(next_rpc_number++);
    load_balancer.on_rpc_arrived(now, {id, method, now + patience, {}});
    return id;
  }
  // One RPC at the time that only this server is ready, ended like this after so long; 25 is the pace
  // guessed.
  void record_attempt(const std::string& server, AttemptOutcome how, double took = 25) {
    update_endpoints({make_endpoint(server)});
    const std::string id = start_rpc();
    const auto all = take_decisions();
    if (all.empty() || all.front().action != Action::send_attempt) return;
    load_balancer.on_attempt_finished(now, id, 0, how, took, true, {});
    take_decisions();
  }
};

inline http::Message parse_message(http::HttpParser::MessageKind kind, const std::string& bytes) {
  http::HttpParser r(kind);
  for (const char c : bytes) {
    r.writable_buffer()[0] = c;
    r.commit(1);
  }
  return r.state() == http::HttpParser::ParseState::complete ? r.take_message() : http::Message{};
}

// Turns the loop until something is so, for two seconds at most.
inline bool run_until(EventLoop& runs, const std::function<bool()>& so) {
  for (const double end = runs.now() + 2000; !so();) {
    if (runs.now() > end) return false;
    runs.run_once(5);
  }
  return true;
}
inline void run_for(EventLoop& runs, double ms) {
  for (const double end = runs.now() + ms; runs.now() < end;) runs.run_once(1);
}

// What goes out over a socket.
inline std::string write_to_socket(WriteBuffer what) {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) < 0) return "no socketpair";
  EventLoop runs;
  FileDescriptorBudget budget{10};
  const FileDescriptor other(ends[1]);
  TcpStream to(runs, budget, FileDescriptor(ends[0]), [](std::uint32_t) {});
  if (!to.write(what) || !what.is_complete()) return "not written whole";
  std::string text(4096, 0);
  text.resize(
      static_cast<std::size_t>(std::max<ssize_t>(::recv(other.get(), text.data(), text.size(), 0), 0)));
  return text;
}

inline sockaddr_in local_address(const FileDescriptor& fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
  return a;
}
inline std::string address_text(const sockaddr_in& a) {
  return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}
inline sockaddr_in loopback_address() {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}
inline FileDescriptor listen_on_loopback() { return open_listener(loopback_address()); }
// It refuses connects until it is made to listen, and no other socket is given its place meanwhile.
inline FileDescriptor bind_on_loopback() {
  const sockaddr_in a = loopback_address();
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a);
  return fd;
}

// One end of a connection: what came over it, and whether it ended.
struct TestConnection {
  EventLoop& loop;
  FileDescriptorBudget& budget;
  std::unique_ptr<TcpStream> stream;
  http::HttpParser parser;
  std::vector<http::Message> received;
  bool is_ended = false;
  std::function<void(TestConnection&)> on_message = [](TestConnection&) {};

  TestConnection(EventLoop& in, FileDescriptorBudget& count, FileDescriptor fd,
                 http::HttpParser::MessageKind kind)
      : loop(in), budget(count), parser(kind) {
    stream = std::make_unique<TcpStream>(in, count, std::move(fd), [this](std::uint32_t) { read(); });
  }
  void read() {
    while (stream && !is_ended) {
      std::size_t n = 0;
      const TcpStream::ReadStatus got = stream->read(parser.writable_buffer(), n);
      if (got == TcpStream::ReadStatus::would_block) return;
      if (got == TcpStream::ReadStatus::data)
        parser.commit(n);
      else
        parser.on_end_of_stream(), is_ended = true;
      while (parser.state() == http::HttpParser::ParseState::complete) {
        received.push_back(parser.take_message());
        on_message(*this);
      }
    }
  }
  void send(const std::string& bytes) {
    WriteBuffer out;
    out.append_owned(bytes);
    if (stream) stream->write(out);
  }
  void close() { stream.reset(); }
};

inline std::string response_text(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves on loopback by a script of answers; past its end it is silent. "close" hangs up, "silent" says
// nothing.
struct FakeServer {
  EventLoop& loop;
  FileDescriptorBudget budget{100};
  FileDescriptor listener;
  sockaddr_in address = local_address(listener);
  std::vector<std::string> responses;
  std::vector<std::string> request_targets;  // targets
  std::vector<std::unique_ptr<TestConnection>> connections;
  EventLoop::Watch listener_watch;
  double response_delay_ms = 0;  // ms, until each answer
  std::vector<EventLoop::Timer> delayed_responses;

  FakeServer(EventLoop& in, std::vector<std::string> answers, FileDescriptor at = listen_on_loopback())
      : loop(in), listener(std::move(at)), responses(std::move(answers)) {
    start_accepting();
  }
  void start_accepting() {
    listener_watch.cancel();
    listener_watch = loop.watch_fd(listener.get(), [this](std::uint32_t) {
      for (;;) {
        FileDescriptor fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!fd) return;
        connections.push_back(std::make_unique<TestConnection>(loop, budget, std::move(fd),
                                                               http::HttpParser::MessageKind::request));
        connections.back()->on_message = [this](TestConnection& s) { respond(s); };
        connections.back()->read();
      }
    });
  }
  void respond(TestConnection& s) {
    const std::size_t turn = request_targets.size();
    request_targets.emplace_back(s.received.back().slice(s.received.back().target));
    const std::string text = turn < responses.size() ? responses[turn] : "silent";
    if (text == "close") return s.close();
    if (text == "silent") return;
    if (response_delay_ms > 0)
      delayed_responses.push_back(
          loop.schedule_at(loop.now() + response_delay_ms, [&s, text] { s.send(text); }));
    else
      s.send(text);
  }
};

}  // namespace host
