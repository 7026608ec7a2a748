// Messages too long to be held: the reader that gives them out in pieces, and their way through the sidecar.
#include <doctest/doctest.h>
#include <malloc.h>

#include "proxy/http_server.h"
#include "support/host.h"

using namespace host;

namespace {

using State = http::HttpParser::ParseState;

// What a reader gives out, fed like this, at once or a byte at a time.
struct ParsedMessage {
  http::Message head;
  std::string body;
  bool has_head = false, complete = false, broken = false;
};
void take_parsed(http::HttpParser& parser, ParsedMessage& message) {
  if (parser.state() == State::head_ready) {
    message.head = parser.take_message();
    message.body = message.head.body();
    message.has_head = true;
  }
  while (parser.state() == State::streaming_body && !parser.body_chunk().empty()) {
    message.body += parser.body_chunk();
    parser.consume_body_chunk();
  }
  if (parser.state() == State::body_complete && !message.complete) {
    message.body += parser.body_chunk();
    message.complete = true;
    parser.start_next_message();
  }
  message.broken |= parser.state() == State::error;
}
void feed_parser(http::HttpParser& parser, std::string_view bytes, ParsedMessage& message) {
  while (!bytes.empty()) {
    const auto room = parser.writable_buffer();
    const std::size_t n = std::min(room.size(), bytes.size());
    std::copy_n(bytes.begin(), n, room.begin());
    parser.commit(n);
    bytes.remove_prefix(n);
    take_parsed(parser, message);
  }
}

}  // namespace

TEST_CASE("long bodies come out the same however their bytes are split") {
  constexpr auto request = http::HttpParser::MessageKind::request;
  constexpr auto answer = http::HttpParser::MessageKind::response;
  const std::string post = "POST /a HTTP/1.1\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string next = "GET /b HTTP/1.1\r\n\r\n";
  const std::string body = "0123456789abcdefghijklmnop";
  struct {
    const char* what;
    http::HttpParser::MessageKind kind;
    std::string bytes;
    bool ends, over;
    std::optional<std::uint64_t> length;
  } table[] = {
      {"a length", request, post + "Content-Length: 26\r\n\r\n" + body + next, false, true, 26},
      {"chunks",
       request,
       post +
           "Transfer-Encoding: "
           "chunked\r\n\r\n3;x=\"y\"\r\n012\r\n14\r\n3456789abcdefghijklm\r\n3\r\nnop\r\n0\r\n"
           "T: 1\r\n\r\n" +
           next,
       false,
       true,
       {}},
      {"an answer of stated length", answer, ok + "Content-Length: 26\r\n\r\n" + body, false, true, 26},
      {"an answer until the end", answer, ok + "\r\n" + body, true, true, {}},
      {"an answer cut", answer, ok + "Content-Length: 27\r\n\r\n" + body, true, false, 27},
      {"chunks cut",
       answer,
       ok + "Transfer-Encoding: chunked\r\n\r\n1a\r\n" + body + "\r\n",
       true,
       false,
       {}},
      {"a chunk too long for its size",
       answer,
       ok + "Transfer-Encoding: chunked\r\n\r\n1a\r\n" + body + "zz\r\n0\r\n\r\n",
       false,
       false,
       {}},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    for (std::size_t cut = 0; cut <= row.bytes.size() + 1; ++cut) {
      CAPTURE(cut);
      http::HttpParser parser(row.kind, 10);
      parser.allow_streaming();
      ParsedMessage message;
      if (cut > row.bytes.size()) {
        for (const char byte : row.bytes) feed_parser(parser, std::string_view(&byte, 1), message);
      } else {
        feed_parser(parser, std::string_view(row.bytes).substr(0, cut), message);
        feed_parser(parser, std::string_view(row.bytes).substr(cut), message);
      }
      if (row.ends) parser.on_end_of_stream();
      take_parsed(parser, message);
      REQUIRE(message.has_head);
      CHECK(message.complete == row.over);
      CHECK(message.broken == !row.over);
      CHECK(message.head.content_length == row.length);
      CHECK(body.starts_with(message.body));
      CHECK((message.body == body || !row.over));
      if (row.kind == request) {
        REQUIRE(parser.state() == State::complete);  // what was pipelined behind
        const http::Message m = parser.take_message();
        CHECK(m.slice(m.target) == "/b");
      }
    }
  }
  http::HttpParser huge(answer);
  huge.allow_streaming();
  ParsedMessage message;
  feed_parser(huge, ok + "Content-Length: 3000000000\r\n\r\n", message);
  CHECK(message.broken);
}

namespace {

// One end of a connection as plain bytes; it reads only while it is told to.
struct RawConnection {
  EventLoop& event_loop;
  std::unique_ptr<TcpStream> socket;
  std::string received;
  WriteBuffer output;
  bool reading = true, ended = false;

  RawConnection(EventLoop& in, FileDescriptorBudget& count, FileDescriptor fd) : event_loop(in) {
    socket = std::make_unique<TcpStream>(in, count, std::move(fd), [this](std::uint32_t) { transfer(); });
  }
  void transfer() {
    socket->write(output);
    std::array<char, 16384> some;
    std::size_t n = 0;
    while (reading && !ended) {
      const auto got = socket->read(some, n);
      if (got == TcpStream::ReadStatus::would_block) return;
      if (got != TcpStream::ReadStatus::data) ended = true;
      if (got == TcpStream::ReadStatus::data) received.append(some.data(), n);
    }
  }
  void send(std::string bytes) {
    if (output.is_complete()) output = {};
    output.append_owned(std::move(bytes));
    socket->write(output);
  }
};

struct LongMessageFixture {
  EventLoop event_loop;
  std::ostringstream log_text;
  Logger test_logger{log_text, LogLevel::debug};
  Counters counts;
  FileDescriptorBudget budget{100}, peer_budget{100};
  UpstreamPool upstream_pool;
  RequestDispatcher dispatcher;
  HttpServer http_server;
  FileDescriptor upstream_listener = listen_on_loopback();
  sockaddr_in upstream_address = local_address(upstream_listener), client_address;
  std::vector<std::unique_ptr<RawConnection>> upstream_connections;
  EventLoop::Watch listener_watch;

  explicit LongMessageFixture(RetrySafety repeats = RetrySafety::non_idempotent)
      : upstream_pool(event_loop, budget, counts, test_logger, {5000, 60}, [] { return false; }),
        dispatcher(event_loop, upstream_pool, counts, test_logger, test_config(repeats), 1),
        http_server(event_loop, budget, counts, test_logger, dispatcher, {80, 40, 64 << 20},
                    [] { return false; }) {
    listener_watch = event_loop.watch_fd(upstream_listener.get(), [this](std::uint32_t) {
      for (;;) {
        FileDescriptor fd(::accept4(upstream_listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!fd) return;
        upstream_connections.push_back(
            std::make_unique<RawConnection>(event_loop, peer_budget, std::move(fd)));
      }
    });
    FileDescriptor front_door = listen_on_loopback();
    client_address = local_address(front_door);
    http_server.use_listener(std::move(front_door));
    upstream_pool.update_endpoint("a", address_text(upstream_address));
    dispatcher.update_endpoints(true, false, {make_endpoint("a")});
  }
  std::unique_ptr<RawConnection> connect_client() {
    return std::make_unique<RawConnection>(event_loop, peer_budget, start_connect(client_address));
  }
  std::size_t attempts_ended(AttemptOutcome how) const {
    return counts.attempts[static_cast<std::size_t>(how)];
  }
};

std::string request_head(const std::string& verb, const std::string& more,
                         const std::string& version = "1.1") {
  static int ids = 0;
  return verb + " /read HTTP/" + version + "\r\nX-Call-Id: pipe" + std::to_string(++ids) +
         "\r\nX-Budget: 300m\r\n" + more + "\r\n";
}

std::string patterned_bytes(std::size_t n) {
  std::string s(n, 0);
  for (std::size_t i = 0; i < n; ++i) s[i] = static_cast<char>('a' + i % 23 + i / 4096 % 3);
  return s;
}

std::string decoded_body(const std::string& all) {
  http::HttpParser parser(http::HttpParser::MessageKind::response);
  parser.allow_streaming();
  ParsedMessage message;
  feed_parser(parser, all, message);
  return message.complete ? message.body : "not whole";
}

constexpr std::size_t long_body_size = 3 << 20;

}  // namespace

TEST_CASE("a long request reaches the endpoint as it was sent, and its answer the client") {
  for (const bool chunked : {false, true}) {
    LongMessageFixture proxy;
    const auto client = proxy.connect_client();
    const std::string body = patterned_bytes(long_body_size);
    if (chunked) {
      std::string all = request_head("POST", "Transfer-Encoding: chunked\r\n");
      for (std::size_t at = 0; at < long_body_size; at += 50000)
        all += encode_body_chunk(std::string_view(body).substr(at, 50000), true, false);
      client->send(all + encode_body_chunk("", true, true));
    } else {
      client->send(request_head("POST", "Content-Length: " + std::to_string(long_body_size) + "\r\n") + body);
    }
    http::HttpParser parser(http::HttpParser::MessageKind::request);
    parser.allow_streaming();
    ParsedMessage message;
    std::size_t fed = 0;
    REQUIRE(run_until(proxy.event_loop, [&] {
      if (proxy.upstream_connections.empty()) return false;
      feed_parser(parser, std::string_view(proxy.upstream_connections[0]->received).substr(fed), message);
      fed = proxy.upstream_connections[0]->received.size();
      return message.complete;
    }));
    CHECK(message.body == body);
    CHECK(message.head.content_length.has_value() == !chunked);
    proxy.upstream_connections[0]->send(response_text(200, "done"));
    REQUIRE(run_until(proxy.event_loop, [&] { return client->received.find("done") != std::string::npos; }));
    CHECK(proxy.counts.streamed_requests == 1);
    CHECK(proxy.counts.rpcs_ok == 1);
    client->send(request_head("GET", ""));  // the connection goes on
    REQUIRE(
        run_until(proxy.event_loop, [&] { return proxy.upstream_connections[0]->received.size() > fed; }));
  }
}

TEST_CASE("a slow upload is not the server's slowness") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  client->send(request_head("POST", "Content-Length: 200001\r\n") + patterned_bytes(200000));
  run_for(proxy.event_loop, 200);  // the latency target is half of that
  client->send("!");
  REQUIRE(run_until(proxy.event_loop, [&] {
    return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.ends_with("!");
  }));
  proxy.upstream_connections[0]->send(response_text(200, "done"));
  REQUIRE(run_until(proxy.event_loop, [&] { return proxy.counts.rpcs_ok == 1; }));
  const std::string log = proxy.log_text.str();
  const std::string said = ": ok after ";
  REQUIRE(log.find(said) != std::string::npos);
  CHECK(std::stod(log.substr(log.find(said) + said.size())) < 100);
}

TEST_CASE("a long answer comes through by every framing, to old clients and new") {
  const std::string body = patterned_bytes(long_body_size);
  for (const bool chunked : {false, true})
    for (const char* version : {"1.0", "1.1"}) {
      CAPTURE(chunked);
      CAPTURE(std::string(version));
      LongMessageFixture proxy;
      const auto client = proxy.connect_client();
      client->send(request_head("GET", "", version));
      REQUIRE(run_until(proxy.event_loop, [&] {
        return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 0;
      }));
      proxy.upstream_connections[0]->send(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                                        encode_body_chunk(body, true, true)
                                                  : response_text(200, body));
      const bool closes = version[2] == '0';
      REQUIRE(run_until(proxy.event_loop,
                        [&] { return closes ? client->ended : decoded_body(client->received) == body; }));
      if (closes) CHECK(client->received.substr(client->received.size() - long_body_size) == body);
      CHECK((client->received.find("chunked") != std::string::npos) == (chunked && !closes));
      CHECK(proxy.dispatcher.in_flight() == 0);
      CHECK(proxy.counts.streamed_responses == 1);
    }
}

TEST_CASE(
    "the first part of a long answer goes on at once, and little is held for a client that reads slowly") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  client->send(request_head("GET", ""));
  REQUIRE(run_until(proxy.event_loop, [&] {
    return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 0;
  }));
  constexpr std::size_t all = 24 << 20;
  proxy.upstream_connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(all) +
                                      "\r\n\r\nfirst");
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received.find("first") != std::string::npos; }));
  client->reading = false;
  proxy.upstream_connections[0]->send(std::string(all - 5, 'x'));
  const std::size_t before = ::mallinfo2().uordblks;
  run_for(proxy.event_loop, 200);
  CHECK(::mallinfo2().uordblks < before + (1 << 20));
  client->reading = true;
  client->received.reserve(all + 1000);
  client->transfer();
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received.size() > all; }));
  CHECK(proxy.counts.truncated_responses == 0);
}

TEST_CASE("what breaks off is cut so that the client can tell, and is not tried again") {
  for (const bool chunked : {false, true}) {
    LongMessageFixture proxy(RetrySafety::idempotent);
    const auto client = proxy.connect_client();
    client->send(request_head("GET", ""));
    REQUIRE(run_until(proxy.event_loop, [&] {
      return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 0;
    }));
    proxy.upstream_connections[0]->send(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                                      encode_body_chunk(patterned_bytes(100000), true, false)
                                                : "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                                                      patterned_bytes(100000));
    REQUIRE(run_until(proxy.event_loop, [&] { return client->received.size() > 90000; }));
    proxy.upstream_connections[0]->socket.reset();
    REQUIRE(run_until(proxy.event_loop, [&] { return client->ended; }));
    CHECK(client->received.find("\r\n0\r\n") == std::string::npos);
    CHECK(proxy.upstream_connections.size() == 1);
    CHECK(proxy.counts.truncated_responses == 1);
    CHECK(proxy.attempts_ended(AttemptOutcome::reset) == 1);
    CHECK(proxy.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("a long request: what it may be told when it goes wrong") {
  struct {
    const char* what;
    std::string answer;  // before the request is whole; "close": hangs up
    int status;
  } table[] = {
      {"never whole there: it can't have run", "close", 503},
      {"turned away: never ran", response_text(503, "", "X-Rejected: 1\r\n"), 503},
      {"an error may have run", response_text(500, ""), 502},
      {"served early", response_text(200, "fine"), 200},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.what));
    LongMessageFixture proxy;
    const auto client = proxy.connect_client();
    client->send(request_head("POST", "Content-Length: 3000000\r\n") + patterned_bytes(200000));
    REQUIRE(run_until(proxy.event_loop, [&] {
      return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 150000;
    }));
    if (row.answer == "close")
      proxy.upstream_connections[0]->socket.reset();
    else
      proxy.upstream_connections[0]->send(row.answer);
    REQUIRE(run_until(proxy.event_loop, [&] { return client->ended; }));
    CHECK(client->received.substr(0, 12) == "HTTP/1.1 " + std::to_string(row.status));
    CHECK(proxy.upstream_connections.size() == 1);
    CHECK(proxy.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("a client that leaves, or sends what is no body, ends its long request everywhere") {
  for (const bool leaves : {true, false}) {
    LongMessageFixture proxy;
    const auto client = proxy.connect_client();
    client->send(request_head("POST", "Transfer-Encoding: chunked\r\n") +
                 encode_body_chunk(patterned_bytes(200000), true, false));
    REQUIRE(run_until(proxy.event_loop, [&] {
      return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 150000;
    }));
    if (leaves)
      client->socket.reset();
    else
      client->send("what\r\n");
    REQUIRE(run_until(proxy.event_loop, [&] { return proxy.upstream_connections[0]->ended; }));
    CHECK(proxy.dispatcher.in_flight() == 0);
    CHECK(proxy.counts.rpcs_abandoned == 1);
    if (!leaves)
      CHECK(run_until(proxy.event_loop, [&] { return client->received.find(" 400 ") != std::string::npos; }));
  }
}

TEST_CASE("HEAD, Expect, OPTIONS of all, pipelined requests") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  client->send(request_head("HEAD", ""));
  REQUIRE(run_until(proxy.event_loop, [&] {
    return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 0;
  }));
  proxy.upstream_connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
  REQUIRE(run_until(proxy.event_loop,
                    [&] { return client->received.find("Content-Length: 7\r\n\r\n") != std::string::npos; }));
  client->received.clear();
  client->send(request_head("POST", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  proxy.upstream_connections[0]->received.clear();
  client->send("body" + request_head("GET", "") + "OPTIONS * HTTP/1.1\r\n\r\n");
  REQUIRE(run_until(proxy.event_loop, [&] {
    return proxy.upstream_connections[0]->received.find("body") != std::string::npos;
  }));
  CHECK(proxy.upstream_connections[0]->received.find("Expect") == std::string::npos);
  proxy.upstream_connections[0]->send(response_text(200, "one"));
  REQUIRE(run_until(proxy.event_loop, [&] {
    return proxy.upstream_connections[0]->received.find("GET") != std::string::npos;
  }));
  proxy.upstream_connections[0]->send(response_text(200, "two"));
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received.find("Allow: ") != std::string::npos; }));
  CHECK(client->received.find("one") < client->received.find("two"));
  CHECK(client->received.find("two") < client->received.find("Allow: "));
}
