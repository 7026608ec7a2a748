// Messages that are too long to be buffered: the parser returns them in pieces, and the sidecar streams them.
#include <doctest/doctest.h>
#include <malloc.h>

#include "proxy/http_server.h"
#include "support/host.h"
#include "support/long_messages.h"

namespace host {
namespace {

using State = http::HttpParser::ParseState;

constexpr auto request = http::HttpParser::MessageKind::request;
constexpr auto response = http::HttpParser::MessageKind::response;

const std::string post_line = "POST /a HTTP/1.1\r\n";
const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string pipelined_request = "GET /b HTTP/1.1\r\n\r\n";
const std::string split_body = "0123456789abcdefghijklmnop";

struct SplitCase {
  const char* description;
  http::HttpParser::MessageKind kind;
  std::string bytes;
  bool stream_ends, is_complete;
  std::optional<std::uint64_t> content_length;
};

const SplitCase split_cases[] = {
    {"a body of stated length", request,
     post_line + "Content-Length: 26\r\n\r\n" + split_body + pipelined_request, false, true, 26},
    {"a chunked body",
     request,
     post_line +
         "Transfer-Encoding: "
         "chunked\r\n\r\n3;x=\"y\"\r\n012\r\n14\r\n3456789abcdefghijklm\r\n3\r\nnop\r\n0\r\n"
         "T: 1\r\n\r\n" +
         pipelined_request,
     false,
     true,
     {}},
    {"a response of stated length", response, ok_line + "Content-Length: 26\r\n\r\n" + split_body, false,
     true, 26},
    {"a response until the end of the stream", response, ok_line + "\r\n" + split_body, true, true, {}},
    {"a truncated response", response, ok_line + "Content-Length: 27\r\n\r\n" + split_body, true, false, 27},
    {"a truncated chunked response",
     response,
     ok_line + "Transfer-Encoding: chunked\r\n\r\n1a\r\n" + split_body + "\r\n",
     true,
     false,
     {}},
    {"a chunk too long for its size",
     response,
     ok_line + "Transfer-Encoding: chunked\r\n\r\n1a\r\n" + split_body + "zz\r\n0\r\n\r\n",
     false,
     false,
     {}},
};

}  // namespace

TEST_CASE("long bodies are parsed the same however their bytes are split") {
  for (const SplitCase& split_case : split_cases) {
    CAPTURE(std::string(split_case.description));
    for (std::size_t cut = 0; cut <= split_case.bytes.size() + 1; ++cut) {
      CAPTURE(cut);
      http::HttpParser parser(split_case.kind, 10);
      parser.allow_streaming();
      ParsedMessage message;
      if (cut > split_case.bytes.size()) {
        for (const char byte : split_case.bytes) feed_parser(parser, std::string_view(&byte, 1), message);
      } else {
        feed_parser(parser, std::string_view(split_case.bytes).substr(0, cut), message);
        feed_parser(parser, std::string_view(split_case.bytes).substr(cut), message);
      }
      if (split_case.stream_ends) parser.on_end_of_stream();
      take_parsed(parser, message);
      REQUIRE(message.has_head);
      CHECK(message.complete == split_case.is_complete);
      CHECK(message.broken == !split_case.is_complete);
      CHECK(message.head.content_length == split_case.content_length);
      CHECK(split_body.starts_with(message.body));
      CHECK((message.body == split_body || !split_case.is_complete));
      if (split_case.kind == request) {
        REQUIRE(parser.state() == State::complete);  // the pipelined request after it
        const http::Message m = parser.take_message();
        CHECK(m.slice(m.target) == "/b");
      }
    }
  }
  http::HttpParser huge(response);
  huge.allow_streaming();
  ParsedMessage message;
  feed_parser(huge, ok_line + "Content-Length: 3000000000\r\n\r\n", message);
  CHECK(message.broken);
}

TEST_CASE("a body that may be long is parsed the same wherever its streaming is started early") {
  constexpr std::size_t buffered_bytes = 25;  // the bodies have 26
  for (const SplitCase& split_case : split_cases) {
    CAPTURE(std::string(split_case.description));
    int started = 0;
    for (std::size_t cut = 0; cut < split_case.bytes.size(); ++cut) {
      CAPTURE(cut);
      http::HttpParser parser(split_case.kind, buffered_bytes);
      parser.allow_streaming();
      ParsedMessage message;
      feed_parser(parser, std::string_view(split_case.bytes).substr(0, cut), message);
      if (parser.may_be_long()) {
        parser.start_streaming();
        CHECK(parser.state() == State::head_ready);
        ++started;
        take_parsed(parser, message);
        CHECK(message.has_head);
      }
      feed_parser(parser, std::string_view(split_case.bytes).substr(cut), message);
      if (split_case.stream_ends) parser.on_end_of_stream();
      take_parsed(parser, message);
      CHECK(message.complete == split_case.is_complete);
      CHECK(message.broken == !split_case.is_complete);
      CHECK(split_body.starts_with(message.body));
      CHECK((message.body == split_body || !split_case.is_complete));
    }
    CHECK(started > 0);
  }
  http::HttpParser short_body(response);
  short_body.allow_streaming();
  ParsedMessage message;
  feed_parser(short_body, ok_line + "Content-Length: 26\r\n\r\nabc", message);
  CHECK_FALSE(short_body.may_be_long());
}

namespace {

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

  explicit LongMessageFixture(RetrySafety retry_safety = RetrySafety::non_idempotent)
      : upstream_pool(event_loop, budget, counts, test_logger, {5000, 60}, [] { return false; }),
        dispatcher(event_loop, upstream_pool, counts, test_logger, test_config(retry_safety), 1),
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
    FileDescriptor client_listener = listen_on_loopback();
    client_address = local_address(client_listener);
    http_server.use_listener(std::move(client_listener));
    upstream_pool.update_endpoint("a", address_text(upstream_address));
    dispatcher.update_endpoints(true, false, {make_endpoint("a")});
  }
  std::unique_ptr<RawConnection> connect_client() {
    return std::make_unique<RawConnection>(event_loop, peer_budget, start_connect(client_address));
  }
  std::size_t attempts_ended(AttemptOutcome outcome) const {
    return counts.attempts[static_cast<std::size_t>(outcome)];
  }
};

std::string request_head(const std::string& verb, const std::string& more,
                         const std::string& version = "1.1") {
  static int ids = 0;
  return verb + " /read HTTP/" + version + "\r\nX-Call-Id: pipe" + std::to_string(++ids) +
         "\r\nX-Budget: 300m\r\n" + more + "\r\n";
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

TEST_CASE("a long request reaches the endpoint unchanged and its response reaches the client") {
  for (const bool chunked : {false, true}) {
    LongMessageFixture proxy;
    const auto client = proxy.connect_client();
    const std::string body = patterned_bytes(long_body_size);
    if (chunked) {
      std::string input = request_head("POST", "Transfer-Encoding: chunked\r\n");
      for (std::size_t at = 0; at < long_body_size; at += 50000)
        input += encode_body_chunk(std::string_view(body).substr(at, 50000), true, false);
      client->send(input + encode_body_chunk("", true, true));
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
    run_for(proxy.event_loop, IdleConnections::min_idle_ms + 1);
    client->send(request_head("GET", ""));  // the connection can be used again
    REQUIRE(
        run_until(proxy.event_loop, [&] { return proxy.upstream_connections[0]->received.size() > fed; }));
  }
}

// Guards against a late final answer: the endpoint vanishes in the middle of a long request, whose last bytes
// then wait in the kernel's buffers.
TEST_CASE("a long request whose endpoint takes no more of it gets its final answer within its budget") {
  constexpr double budget_ms = 300;     // of request_head()
  constexpr double allowance_ms = 500;  // a late final answer only earns nothing until then
  for (const bool chunked : {false, true})
    for (const std::size_t size : {std::size_t{4} << 20, std::size_t{12} << 20}) {
      CAPTURE(chunked);
      CAPTURE(size);
      LongMessageFixture proxy;
      const auto client = proxy.connect_client();
      const std::string body = patterned_bytes(size);
      const std::string framing =
          chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(size) + "\r\n";
      const auto framed = [&](std::size_t offset, std::size_t count, bool last) {
        return encode_body_chunk(std::string_view(body).substr(offset, count), chunked, last);
      };
      constexpr std::size_t first_part = 200000;
      client->send(request_head("POST", framing) + framed(0, first_part, false));
      REQUIRE(run_until(proxy.event_loop, [&] {
        return !proxy.upstream_connections.empty() &&
               proxy.upstream_connections[0]->received.size() > first_part;
      }));
      proxy.upstream_connections[0]->reading = false;
      client->send(framed(first_part, std::string::npos, true));
      const double sent_at_ms = proxy.event_loop.now();
      REQUIRE(run_until(proxy.event_loop, [&] { return !client->received.empty(); }));
      CHECK(proxy.event_loop.now() - sent_at_ms < budget_ms + allowance_ms);
      CHECK(proxy.counts.rpcs_ok == 0);
      CHECK(proxy.dispatcher.in_flight() == 0);
    }
}

TEST_CASE("a long request that its endpoint takes in bits is not given up") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  const std::string body = patterned_bytes(long_body_size * 4);
  client->send(request_head("POST", "Content-Length: " + std::to_string(body.size()) + "\r\n"));
  client->send(body.substr(0, 200000));
  REQUIRE(run_until(proxy.event_loop, [&] { return !proxy.upstream_connections.empty(); }));
  RawConnection& endpoint = *proxy.upstream_connections[0];
  std::size_t sent = 200000;
  for (int pause = 0; pause < 6; ++pause) {  // 1.2 s in all, four times the budget
    endpoint.reading = false;
    const std::size_t count = pause < 5 ? body.size() / 6 : body.size() - sent;
    client->send(body.substr(sent, count));
    sent += count;
    run_for(proxy.event_loop, 200);
    endpoint.reading = true;
    REQUIRE(run_until(proxy.event_loop, [&] {
      endpoint.transfer();
      return endpoint.received.size() >= sent;
    }));
  }
  endpoint.send(response_text(200, "done"));
  CHECK(run_until(proxy.event_loop, [&] { return client->received.find("done") != std::string::npos; }));
}

TEST_CASE("the duration of a slow upload is not counted as the endpoint's response time") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  client->send(request_head("POST", "Content-Length: 200001\r\n") + patterned_bytes(200000));
  run_for(proxy.event_loop, 200);  // the latency objective is half of that
  client->send("!");
  REQUIRE(run_until(proxy.event_loop, [&] {
    return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.ends_with("!");
  }));
  proxy.upstream_connections[0]->send(response_text(200, "done"));
  REQUIRE(run_until(proxy.event_loop, [&] { return proxy.counts.rpcs_ok == 1; }));
  const std::string log = proxy.log_text.str();
  const std::string duration_prefix = ": ok after ";
  REQUIRE(log.find(duration_prefix) != std::string::npos);
  CHECK(std::stod(log.substr(log.find(duration_prefix) + duration_prefix.size())) < 100);
}

TEST_CASE("a long response is forwarded in either framing to HTTP/1.0 and HTTP/1.1 clients") {
  const std::string body = patterned_bytes(long_body_size);
  for (const bool chunked : {false, true})
    for (const char* version : {"1.0", "1.1"}) {
      CAPTURE(chunked);
      CAPTURE(std::string(version));
      LongMessageFixture proxy;
      const auto client = proxy.connect_client();
      client->send(request_head("GET", "", version));
      REQUIRE(run_until(proxy.event_loop, [&] {
        return !proxy.upstream_connections.empty() && !proxy.upstream_connections[0]->received.empty();
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
    "the first part of a long response is forwarded at once and little is buffered for a client that reads "
    "slowly") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  client->send(request_head("GET", ""));
  REQUIRE(run_until(proxy.event_loop, [&] {
    return !proxy.upstream_connections.empty() && !proxy.upstream_connections[0]->received.empty();
  }));
  constexpr std::size_t body_bytes = 24 << 20;
  proxy.upstream_connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
                                      "\r\n\r\nfirst");
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received.find("first") != std::string::npos; }));
  client->reading = false;
  proxy.upstream_connections[0]->send(std::string(body_bytes - 5, 'x'));
  const std::size_t allocated_before = ::mallinfo2().uordblks;
  run_for(proxy.event_loop, 200);
  CHECK(::mallinfo2().uordblks < allocated_before + (1 << 20));
  client->reading = true;
  client->received.reserve(body_bytes + 1000);
  client->transfer();
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received.size() > body_bytes; }));
  CHECK(proxy.counts.truncated_responses == 0);
}

TEST_CASE("a long response that breaks off is visibly truncated for the client and not retried") {
  for (const bool chunked : {false, true}) {
    LongMessageFixture proxy(RetrySafety::idempotent);
    const auto client = proxy.connect_client();
    client->send(request_head("GET", ""));
    REQUIRE(run_until(proxy.event_loop, [&] {
      return !proxy.upstream_connections.empty() && !proxy.upstream_connections[0]->received.empty();
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
    CHECK(proxy.counts.incomplete_responses == 1);
    CHECK(proxy.log_text.str().find("ended incomplete: reset, attempt 0, ") != std::string::npos);
    CHECK(proxy.log_text.str().find(", 100000 body bytes, silent for ") != std::string::npos);
    CHECK(proxy.attempts_ended(AttemptOutcome::reset) == 1);
    CHECK(proxy.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("the response to a long request that fails depends on whether the request may have run") {
  struct {
    const char* description;
    std::string endpoint_response;  // before the request is complete; "close" closes the connection
    int status;
  } table[] = {
      {"the endpoint never has the complete request: it can't have run", "close", 503},
      {"rejected: it never ran", response_text(503, "", "X-Rejected: 1\r\n"), 503},
      {"an error: it may have run", response_text(500, ""), 502},
      {"answered early", response_text(200, "fine"), 200},
  };
  for (const auto& row : table) {
    CAPTURE(std::string(row.description));
    LongMessageFixture proxy;
    const auto client = proxy.connect_client();
    client->send(request_head("POST", "Content-Length: 3000000\r\n") + patterned_bytes(200000));
    REQUIRE(run_until(proxy.event_loop, [&] {
      return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 150000;
    }));
    if (row.endpoint_response == "close")
      proxy.upstream_connections[0]->socket.reset();
    else
      proxy.upstream_connections[0]->send(row.endpoint_response);
    REQUIRE(run_until(proxy.event_loop, [&] { return client->ended; }));
    CHECK(client->received.substr(0, 12) == "HTTP/1.1 " + std::to_string(row.status));
    CHECK(proxy.upstream_connections.size() == 1);
    CHECK(proxy.dispatcher.in_flight() == 0);
  }
}

TEST_CASE("a client that disconnects or sends a malformed body ends its long request at the endpoint too") {
  for (const bool disconnects : {true, false}) {
    LongMessageFixture proxy;
    const auto client = proxy.connect_client();
    client->send(request_head("POST", "Transfer-Encoding: chunked\r\n") +
                 encode_body_chunk(patterned_bytes(200000), true, false));
    REQUIRE(run_until(proxy.event_loop, [&] {
      return !proxy.upstream_connections.empty() && proxy.upstream_connections[0]->received.size() > 150000;
    }));
    if (disconnects)
      client->socket.reset();
    else
      client->send("what\r\n");
    REQUIRE(run_until(proxy.event_loop, [&] { return proxy.upstream_connections[0]->ended; }));
    CHECK(proxy.dispatcher.in_flight() == 0);
    CHECK(proxy.counts.rpcs_abandoned == 1);
    if (!disconnects)
      CHECK(run_until(proxy.event_loop, [&] { return client->received.find(" 400 ") != std::string::npos; }));
  }
}

TEST_CASE("HEAD and Expect and server-wide OPTIONS and pipelined requests work on one client connection") {
  LongMessageFixture proxy;
  const auto client = proxy.connect_client();
  client->send(request_head("HEAD", ""));
  REQUIRE(run_until(proxy.event_loop, [&] {
    return !proxy.upstream_connections.empty() && !proxy.upstream_connections[0]->received.empty();
  }));
  proxy.upstream_connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
  REQUIRE(run_until(proxy.event_loop,
                    [&] { return client->received.find("Content-Length: 7\r\n\r\n") != std::string::npos; }));
  client->received.clear();
  run_for(proxy.event_loop, IdleConnections::min_idle_ms + 1);
  client->send(request_head("POST", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  proxy.upstream_connections[0]->received.clear();
  client->send("body" + request_head("GET", "") + "OPTIONS * HTTP/1.1\r\n\r\n");
  REQUIRE(run_until(proxy.event_loop, [&] {
    return proxy.upstream_connections[0]->received.find("body") != std::string::npos;
  }));
  CHECK(proxy.upstream_connections[0]->received.find("Expect") == std::string::npos);
  proxy.upstream_connections[0]->send(response_text(200, "one"));
  // The next request does not wait until the first connection may carry it.
  REQUIRE(run_until(proxy.event_loop, [&] {
    return proxy.upstream_connections.size() == 2 &&
           proxy.upstream_connections[1]->received.find("GET") != std::string::npos;
  }));
  proxy.upstream_connections[1]->send(response_text(200, "two"));
  REQUIRE(run_until(proxy.event_loop, [&] { return client->received.find("Allow: ") != std::string::npos; }));
  CHECK(client->received.find("one") < client->received.find("two"));
  CHECK(client->received.find("two") < client->received.find("Allow: "));
}

}  // namespace host
