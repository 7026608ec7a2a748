/// \file
/// The HTTP parser and the header codec.
#include <doctest/doctest.h>

#include "support/host.h"

namespace indigorill {
namespace {

using host::parse_message;
using host::write_to_socket;
using http::HttpParser;

constexpr auto request = HttpParser::MessageKind::request;
constexpr auto response = HttpParser::MessageKind::response;
constexpr auto reading = HttpParser::ParseState::reading;
constexpr auto complete = HttpParser::ParseState::complete;
constexpr auto error = HttpParser::ParseState::error;

void feed(HttpParser& parser, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto buffer = parser.writable_buffer();
    const std::size_t count = std::min(buffer.size(), bytes.size());
    std::copy_n(bytes.data(), count, buffer.data());
    parser.commit(count);
    bytes.remove_prefix(count);
  }
}

std::string repeated(const std::string& text, int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

struct ParserCase {
  const char* description;
  HttpParser::MessageKind kind;
  std::string bytes;
  bool is_closed_after;
  HttpParser::ParseState state;
  int status;  // of the error if `state` is `error`, otherwise of the response
  std::string body;
  bool keep_alive = true;
};

const std::string post = "POST /a HTTP/1.1\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";

std::vector<ParserCase> request_cases() {
  return {
      {"request without a body", request, "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n", false, complete, 0, ""},
      {"empty line before the request", request, "\r\nGET /a HTTP/1.1\r\n\r\n", false, complete, 0, ""},
      {"Content-Length", request, post + "Content-Length: 3\r\n\r\nabc", false, complete, 0, "abc"},
      {"repeated Content-Length with the same value", request,
       post + "Content-Length: 1\r\ncontent-length:1 \r\n\r\na", false, complete, 0, "a"},
      {"chunked request", request,
       post + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n", false, complete,
       0, "abc"},
      {"HTTP/1.0 closes the connection", request, "GET /a HTTP/1.0\r\n\r\n", false, complete, 0, "", false},
      {"HTTP/1.0 with keep-alive", request, "GET /a HTTP/1.0\r\nConnection: x, Keep-Alive\r\n\r\n", false,
       complete, 0, ""},
      {"Connection: close", request, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", false, complete, 0, "",
       false},
      {"incomplete head", request, post + "Content-Length: 3\r\n", false, reading, 0, ""},
      {"incomplete body", request, post + "Content-Length: 3\r\n\r\nab", false, reading, 0, ""},
      {"end of stream within the body", request, post + "Content-Length: 3\r\n\r\nab", true, error, 400, ""},
      {"two different lengths", request, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false,
       error, 400, ""},
      {"Content-Length of a chunked request", request,
       post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false, error, 400, ""},
      {"unknown transfer coding", request, post + "Transfer-Encoding: gzip, chunked\r\n\r\n", false, error,
       400, ""},
      {"repeated chunked coding", request, post + "Transfer-Encoding: chunked, chunked\r\n\r\n", false, error,
       400, ""},
      {"length with a sign", request, post + "Content-Length: +3\r\n\r\n", false, error, 400, ""},
      {"length that overflows", request, post + "Content-Length: 99999999999999999999\r\n\r\n", false, error,
       400, ""},
      {"body over the limit", request, post + "Content-Length: 65537\r\n\r\n", false, error, 413, ""},
      {"chunk over the limit", request, post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n", false, error,
       413, ""},
      {"malformed chunk size", request, post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", false, error, 400,
       ""},
      {"chunk longer than its size", request, post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", false,
       error, 400, ""},
      {"line over the limit", request, "GET /" + repeated("a", 9000) + " HTTP/1.1\r\n\r\n", false, error, 431,
       ""},
      {"head over the limit", request,
       "GET / HTTP/1.1\r\n" + repeated("A: " + repeated("b", 996) + "\r\n", 17) + "\r\n", false, error, 431,
       ""},
      {"too many headers", request, "GET / HTTP/1.1\r\n" + repeated("A: b\r\n", 101) + "\r\n", false, error,
       431, ""},
      {"bare LF at the end of a line", request, "GET /a HTTP/1.1\nHost: x\n\n", false, error, 400, ""},
      {"request line without a version", request, "GET /a\r\n\r\n", false, error, 400, ""},
      {"unsupported version", request, "GET /a HTTP/2.0\r\n\r\n", false, error, 400, ""},
      {"absolute target", request, "GET http://x/a HTTP/1.1\r\n\r\n", false, complete, 0, ""},
      {"absolute target without path", request, "GET http://x HTTP/1.1\r\n\r\n", false, error, 400, ""},
      {"space before the colon of a header line", request, "GET /a HTTP/1.1\r\nHost : x\r\n\r\n", false,
       error, 400, ""},
      {"folded header line", request, "GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n", false, error, 400, ""},
      {"control character in a header value", request, "GET /a HTTP/1.1\r\nA: b\x01\r\n\r\n", false, error,
       400, ""},
      {"bare CR in a header value", request, "GET /a HTTP/1.1\r\nA: b\rc\r\n\r\n", false, error, 400, ""},
  };
}

std::vector<ParserCase> response_cases() {
  return {
      {"response with a length", response, ok + "Content-Length: 2\r\n\r\nab", false, complete, 200, "ab"},
      {"chunked response", response, ok + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
       false, complete, 200, "0123456789"},
      {"response that ends with the connection", response, ok + "\r\nabc", true, complete, 200, "abc", false},
      {"response without a length before the end of the connection", response, ok + "\r\nabc", false, reading,
       200, ""},
      {"truncated response", response, ok + "Content-Length: 3\r\n\r\nab", true, error, 400, ""},
      {"final response after an interim one", response,
       "HTTP/1.1 103 Wait\r\nA: b\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", false, complete, 200, "a",
       false},
      {"204 without a body", response, "HTTP/1.1 204 None\r\n\r\n", false, complete, 204, ""},
      {"status line without a reason phrase", response, "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", false,
       complete, 503, ""},
      {"response with Connection: close", response, ok + "Connection: close\r\nContent-Length: 0\r\n\r\n",
       false, complete, 200, "", false},
      {"end of stream without a response", response, "", true, error, 400, ""},
      {"response of another protocol", response, "SSH-2.0-x\r\n", false, error, 400, ""},
      {"101 Switching Protocols", response, "HTTP/1.1 101 Switch\r\n\r\n", false, error, 400, ""},
      {"malformed status code", response, "HTTP/1.1 2x0 OK\r\n\r\n", false, error, 400, ""},
      {"response over the limit", response, ok + "\r\n" + repeated("a", 65537), false, error, 413, ""},
  };
}

void check_message(const ParserCase& expected, const http::Message& message) {
  CHECK(message.body() == expected.body);
  CHECK(message.keep_alive == expected.keep_alive);
  CHECK(message.status == expected.status);
  if (expected.kind == request) CHECK(message.slice(message.target).substr(0, 2) == "/a");
}

void check_parsed_in_two_parts(const ParserCase& expected, std::size_t cut) {
  CAPTURE(cut);
  HttpParser parser(expected.kind);
  feed(parser, std::string_view(expected.bytes).substr(0, cut));
  feed(parser, std::string_view(expected.bytes).substr(cut));
  if (expected.is_closed_after) parser.on_end_of_stream();
  REQUIRE(parser.state() == expected.state);
  if (expected.state == error) CHECK(parser.error_status() == expected.status);
  if (expected.state != complete) return;
  check_message(expected, parser.take_message());
  CHECK(parser.state() == reading);
}

void check_parsed_byte_by_byte(const ParserCase& expected) {
  HttpParser parser(expected.kind);
  for (const char byte : expected.bytes) feed(parser, std::string_view(&byte, 1));
  if (expected.is_closed_after) parser.on_end_of_stream();
  CHECK(parser.state() == expected.state);
}

void check_parsed(const std::vector<ParserCase>& cases) {
  for (const ParserCase& expected : cases) {
    CAPTURE(std::string(expected.description));
    const std::size_t step = expected.bytes.size() < 300 ? 1 : 997;
    for (std::size_t cut = 0; cut <= expected.bytes.size(); cut += step)
      check_parsed_in_two_parts(expected, cut);
    check_parsed_byte_by_byte(expected);
  }
}

TEST_CASE("the parser's result does not depend on how the input is split") {
  check_parsed(request_cases());
  check_parsed(response_cases());
}

TEST_CASE("pipelined requests are parsed in order however the input is split") {
  const std::string bytes =
      post + "Content-Length: 2\r\n\r\nab" + post +
      "Transfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\nGET /d HTTP/1.1\r\nX: e\r\n\r\n";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    CAPTURE(cut);
    HttpParser parser(request);
    std::string bodies;
    for (const std::string_view part :
         {std::string_view(bytes).substr(0, cut), std::string_view(bytes).substr(cut)}) {
      feed(parser, part);
      while (parser.state() == complete) {
        const http::Message message = parser.take_message();
        bodies += message.body();
        bodies += message.find_header("x").value_or("-");
      }
    }
    CHECK(bodies == "ab-c-e");
    CHECK_FALSE(parser.has_partial_input());
  }
}

TEST_CASE("RPC requests are decoded and invalid ones get an error status") {
  const std::string id = "X-Call-Id: 1\r\n";
  struct {
    std::string head;
    std::string method;
    int error_status;
    double budget_ms;
    std::string_view tenant = {};
    bool is_retry = false;
  } cases[] = {
      {"GET /read HTTP/1.1\r\nX-Caller: acme\r\nX-Again: 1\r\n" + id + "X-Budget: 1m\r\n", "read", 0, 1,
       "acme", true},
      {"GET /read HTTP/1.1\r\nX-Again: yes\r\n" + id + "X-Budget: 1m\r\n", "read", 0, 1},
      {"GET /read/x HTTP/1.1\r\n" + id + "X-Budget: 480m\r\n", "read", 0, 480},
      {"POST /vital HTTP/1.1\r\nx-call-class: vital\r\n" + id + "X-Budget: 1500u\r\n", "vital", 0, 1.5},
      {"GET /read?obj=3 HTTP/1.1\r\n" + id + "X-Budget: 0.5m\r\n", "read", 0, 0.5},
      {"PUT /read HTTP/1.1\r\n" + id + "X-Budget: 1m\r\n", "read", 405, 1},
      {"GET /read HTTP/1.1\r\nX-Budget: 1m\r\n", "read", 400, 1},
      {"GET /read HTTP/1.1\r\n" + id, "read", 400, 0},
      {"GET /read HTTP/1.1\r\n" + id + "X-Budget: 480\r\n", "read", 400, 0},
      {"GET /read HTTP/1.1\r\n" + id + "X-Budget: -1m\r\n", "read", 400, 0},
      {"GET /read HTTP/1.1\r\n" + id + "X-Budget: infm\r\n", "read", 400, 0},
      {"GET /read HTTP/1.1\r\n" + id + "X-Budget: m\r\n", "read", 400, 0},
      {"GET /read HTTP/1.1\r\n" + id + "X-Budget: 1e9m\r\n", "read", 400, 0},
  };
  for (const auto& expected : cases) {
    CAPTURE(expected.head);
    const http::Message message = parse_message(request, expected.head + "\r\n");
    const RpcRequest rpc = decode_rpc_request(message);
    CHECK(rpc.method == expected.method);
    CHECK(rpc.error_status == expected.error_status);
    CHECK(rpc.budget_ms == doctest::Approx(expected.budget_ms));
    CHECK(rpc.tenant == expected.tenant);
    CHECK(rpc.is_retry == expected.is_retry);
  }
}

TEST_CASE("RPCs have the same affinity key if they name the same object") {
  struct {
    std::string target;
    std::string other_target;
    bool is_same_object;
  } cases[] = {
      {"/read/000251ee5fa32705", "/hold/000251ee5fa32705?a=b", true},
      {"/read/000251ee5fa32705", "/read/000251ee5fa32706", false},
      {"/read/hut 7", "/read/hut 7/beds", true},
      {"/read", "/read/", true},
      {"/read", "/read/1", false},
  };
  const auto affinity_key = [](std::string target) {
    std::replace(target.begin(), target.end(), ' ', '+');
    return decode_rpc_request(parse_message(request, "GET " + target + " HTTP/1.1\r\n\r\n")).affinity_key;
  };
  for (const auto& expected : cases) {
    CAPTURE(expected.target);
    CHECK((affinity_key(expected.target) == affinity_key(expected.other_target)) == expected.is_same_object);
  }
}

TEST_CASE("responses are decoded into an outcome and a load report") {
  struct {
    std::string head;
    std::string body;
    bool is_health_check;
    AttemptOutcome outcome;
    std::optional<double> in_flight;
  } cases[] = {
      {"200 OK", "x", false, AttemptOutcome::ok, {}},
      {"200 OK\r\nX-Load-Report: outstanding=7,backlog=2,utilization=0.61", "x", false, AttemptOutcome::ok,
       7},
      {"500 No\r\nX-Load-Report: backlog=2, outstanding=3.5", "", false, AttemptOutcome::error, 3.5},
      {"503 No\r\nX-Rejected: 1", "", false, AttemptOutcome::rejected, {}},
      {"504 No\r\nX-Rejected: 1", "", false, AttemptOutcome::rejected, {}},
      {"500 No\r\nX-Rejected: 1", "", false, AttemptOutcome::error, {}},
      {"503 No", "", false, AttemptOutcome::error, {}},
      {"302 Away", "", false, AttemptOutcome::error, {}},
      {"200 OK\r\nX-Load-Report: outstanding=much,=,x", "", false, AttemptOutcome::ok, {}},
      {"200 OK", "outstanding=2,backlog=1\n", true, AttemptOutcome::ok, 2},
      {"200 OK", "outstanding=2,backlog=1\n", false, AttemptOutcome::ok, {}},
  };
  for (const auto& expected : cases) {
    CAPTURE(expected.head);
    const http::Message message =
        parse_message(response, "HTTP/1.1 " + expected.head + "\r\nContent-Length: " +
                                    std::to_string(expected.body.size()) + "\r\n\r\n" + expected.body);
    CHECK(classify_response(message) == expected.outcome);
    CHECK(decode_load_report(message, expected.is_health_check).in_flight == expected.in_flight);
  }
}

TEST_CASE("requests to endpoints and responses to clients are encoded as HTTP/1.1") {
  const http::Message get = parse_message(request,
                                          "GET /read?a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, "
                                          "x-hop\r\nX-Hop: 1\r\nX-Call-Id: 9\r\nX-Budget: 480m\r\n\r\n");
  const http::Message sent = parse_message(
      request,
      "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\nX-Call-Id: 9\r\nA: b\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  const http::Message served = parse_message(
      response,
      "HTTP/1.1 200 Fine\r\nX-Load-Report: outstanding=1\r\nA: b\r\nContent-Length: 2\r\nC: d\r\n\r\nok");
  struct {
    WriteBuffer output;
    std::string text;
  } cases[] = {
      {encode_attempt(get, 12.5),
       "GET /read?a HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9\r\nX-Budget: 12500u\r\n\r\n"},
      {encode_attempt(sent, 0),
       "POST /x HTTP/1.1\r\nX-Call-Id: 9\r\nA: b\r\nX-Budget: 1u\r\nContent-Length: 2\r\n\r\nhi"},
      {encode_forwarded_response(served, false),
       "HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\nContent-Length: 2\r\n\r\nok"},
      {encode_rejection(1500, true),
       "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.500\r\nContent-Length: 0\r\nConnection: "
       "close\r\n\r\n"},
      {encode_rejection(7, false),
       "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.007\r\nContent-Length: 0\r\n\r\n"},
      {encode_rejection(0, false), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
      {encode_failure(false), "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"},
  };
  for (auto& expected : cases) CHECK(write_to_socket(std::move(expected.output)) == expected.text);
}

}  // namespace
}  // namespace indigorill
