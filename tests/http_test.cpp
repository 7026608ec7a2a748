#include <doctest/doctest.h>

#include "support/host.h"

using namespace host;
using http::HttpParser;

namespace {

constexpr auto request = HttpParser::MessageKind::request, answer = HttpParser::MessageKind::response;
constexpr auto reading = HttpParser::ParseState::reading, whole = HttpParser::ParseState::complete,
               broken = HttpParser::ParseState::error;

void feed(HttpParser& r, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto room = r.writable_buffer();
    const std::size_t n = std::min(room.size(), bytes.size());
    std::copy_n(bytes.data(), n, room.data());
    r.commit(n);
    bytes.remove_prefix(n);
  }
}

std::string many(const std::string& piece, int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += piece;
  return all;
}

struct Row {
  const char* what;
  HttpParser::MessageKind kind;
  std::string bytes;
  bool ends;  // the sender closes then
  HttpParser::ParseState is;
  int status;  // of the fault, or of the answer
  std::string body;
  bool keeps = true;
};

const std::string post = "POST /a HTTP/1.1\r\n", ok = "HTTP/1.1 200 OK\r\n";

}  // namespace

TEST_CASE("messages are the same however their bytes are split") {
  const Row table[] = {
      {"no body", request, "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n", false, whole, 0, ""},
      {"an empty line before", request, "\r\nGET /a HTTP/1.1\r\n\r\n", false, whole, 0, ""},
      {"a length", request, post + "Content-Length: 3\r\n\r\nabc", false, whole, 0, "abc"},
      {"equal lengths", request, post + "Content-Length: 1\r\ncontent-length:1 \r\n\r\na", false, whole, 0,
       "a"},
      {"chunks", request,
       post + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n", false, whole, 0,
       "abc"},
      {"old version", request, "GET /a HTTP/1.0\r\n\r\n", false, whole, 0, "", false},
      {"old version kept", request, "GET /a HTTP/1.0\r\nConnection: x, Keep-Alive\r\n\r\n", false, whole, 0,
       ""},
      {"close asked", request, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", false, whole, 0, "", false},
      {"head not whole", request, post + "Content-Length: 3\r\n", false, reading, 0, ""},
      {"body not whole", request, post + "Content-Length: 3\r\n\r\nab", false, reading, 0, ""},
      {"closed within", request, post + "Content-Length: 3\r\n\r\nab", true, broken, 400, ""},
      {"two lengths", request, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false, broken,
       400, ""},
      {"length and chunks", request, post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false,
       broken, 400, ""},
      {"unknown coding", request, post + "Transfer-Encoding: gzip, chunked\r\n\r\n", false, broken, 400, ""},
      {"chunked twice", request, post + "Transfer-Encoding: chunked, chunked\r\n\r\n", false, broken, 400,
       ""},
      {"odd length", request, post + "Content-Length: +3\r\n\r\n", false, broken, 400, ""},
      {"huge length", request, post + "Content-Length: 99999999999999999999\r\n\r\n", false, broken, 400, ""},
      {"long body", request, post + "Content-Length: 65537\r\n\r\n", false, broken, 413, ""},
      {"long chunk", request, post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n", false, broken, 413, ""},
      {"odd chunk", request, post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", false, broken, 400, ""},
      {"chunk too long for its size", request, post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", false,
       broken, 400, ""},
      {"long line", request, "GET /" + many("a", 9000) + " HTTP/1.1\r\n\r\n", false, broken, 431, ""},
      {"long head", request, "GET / HTTP/1.1\r\n" + many("A: " + many("b", 996) + "\r\n", 17) + "\r\n", false,
       broken, 431, ""},
      {"many headers", request, "GET / HTTP/1.1\r\n" + many("A: b\r\n", 101) + "\r\n", false, broken, 431,
       ""},
      {"line without return", request, "GET /a HTTP/1.1\nHost: x\n\n", false, broken, 400, ""},
      {"no version", request, "GET /a\r\n\r\n", false, broken, 400, ""},
      {"another version", request, "GET /a HTTP/2.0\r\n\r\n", false, broken, 400, ""},
      {"whole address", request, "GET http://x/a HTTP/1.1\r\n\r\n", false, whole, 0, ""},
      {"whole address of no path", request, "GET http://x HTTP/1.1\r\n\r\n", false, broken, 400, ""},
      {"space before colon", request, "GET /a HTTP/1.1\r\nHost : x\r\n\r\n", false, broken, 400, ""},
      {"folded line", request, "GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n", false, broken, 400, ""},
      {"control in a value", request, "GET /a HTTP/1.1\r\nA: b\x01\r\n\r\n", false, broken, 400, ""},
      {"return in a value", request, "GET /a HTTP/1.1\r\nA: b\rc\r\n\r\n", false, broken, 400, ""},
      {"answer with a length", answer, ok + "Content-Length: 2\r\n\r\nab", false, whole, 200, "ab"},
      {"answer in chunks", answer, ok + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
       false, whole, 200, "0123456789"},
      {"answer until close", answer, ok + "\r\nabc", true, whole, 200, "abc", false},
      {"answer not closed yet", answer, ok + "\r\nabc", false, reading, 200, ""},
      {"answer broken off", answer, ok + "Content-Length: 3\r\n\r\nab", true, broken, 400, ""},
      {"answer after a word", answer, "HTTP/1.1 103 Wait\r\nA: b\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na",
       false, whole, 200, "a", false},
      {"no content", answer, "HTTP/1.1 204 None\r\n\r\n", false, whole, 204, ""},
      {"no reason", answer, "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", false, whole, 503, ""},
      {"last answer", answer, ok + "Connection: close\r\nContent-Length: 0\r\n\r\n", false, whole, 200, "",
       false},
      {"no answer", answer, "", true, broken, 400, ""},
      {"other protocol", answer, "SSH-2.0-x\r\n", false, broken, 400, ""},
      {"switching", answer, "HTTP/1.1 101 Switch\r\n\r\n", false, broken, 400, ""},
      {"odd status", answer, "HTTP/1.1 2x0 OK\r\n\r\n", false, broken, 400, ""},
      {"long answer", answer, ok + "\r\n" + many("a", 65537), false, broken, 413, ""},
  };
  for (const Row& t : table) {
    CAPTURE(std::string(t.what));
    const std::size_t every = t.bytes.size() < 300 ? 1 : 997;
    for (std::size_t cut = 0; cut <= t.bytes.size(); cut += every) {
      CAPTURE(cut);
      HttpParser r(t.kind);
      feed(r, std::string_view(t.bytes).substr(0, cut));
      feed(r, std::string_view(t.bytes).substr(cut));
      if (t.ends) r.on_end_of_stream();
      REQUIRE(r.state() == t.is);
      if (t.is == broken) CHECK(r.error_status() == t.status);
      if (t.is != whole) continue;
      const http::Message m = r.take_message();
      CHECK(m.body() == t.body);
      CHECK(m.keep_alive == t.keeps);
      CHECK(m.status == t.status);
      if (t.kind == request) CHECK(m.slice(m.target).substr(0, 2) == "/a");
      CHECK(r.state() == reading);
    }
    HttpParser r(t.kind);
    for (const char c : t.bytes) feed(r, std::string_view(&c, 1));
    if (t.ends) r.on_end_of_stream();
    CHECK(r.state() == t.is);
  }
}

TEST_CASE("what follows a message is the next one, at every split") {
  const std::string bytes =
      post + "Content-Length: 2\r\n\r\nab" + post +
      "Transfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\nGET /d HTTP/1.1\r\nX: e\r\n\r\n";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    CAPTURE(cut);
    HttpParser r(request);
    std::string bodies;
    for (const std::string_view part :
         {std::string_view(bytes).substr(0, cut), std::string_view(bytes).substr(cut)}) {
      feed(r, part);
      while (r.state() == whole) {
        const http::Message m = r.take_message();
        bodies += m.body();
        bodies += m.find_header("x").value_or("-");
      }
    }
    CHECK(bodies == "ab-c-e");
    CHECK_FALSE(r.has_partial_input());
  }
}

TEST_CASE("a request in our words") {
  const std::string id = "X-Call-Id: 1\r\n";
  struct {
    std::string head, method;
    int fault;
    double budget;
    std::string_view tenant = "";
    bool repeat = false;
  } table[] = {
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
  for (const auto& t : table) {
    CAPTURE(t.head);
    const http::Message m = parse_message(request, t.head + "\r\n");
    const RpcRequest c = decode_rpc_request(m);
    CHECK(c.method == t.method);
    CHECK(c.error_status == t.fault);
    CHECK(c.budget_ms == doctest::Approx(t.budget));
    CHECK(c.tenant == t.tenant);
    CHECK(c.is_retry == t.repeat);
  }
}

TEST_CASE("RPCs have one key if they name one thing") {
  struct {
    std::string one, other;
    bool same;
  } table[] = {
      {"/read/000251ee5fa32705", "/hold/000251ee5fa32705?a=b", true},
      {"/read/000251ee5fa32705", "/read/000251ee5fa32706", false},
      {"/read/hut 7", "/read/hut 7/beds", true},
      {"/read", "/read/", true},
      {"/read", "/read/1", false},
  };
  for (const auto& t : table) {
    const auto key = [](const std::string& target) {
      std::string escaped = target;
      std::replace(escaped.begin(), escaped.end(), ' ', '+');
      return decode_rpc_request(parse_message(request, "GET " + escaped + " HTTP/1.1\r\n\r\n")).affinity_key;
    };
    CAPTURE(t.one);
    CHECK((key(t.one) == key(t.other)) == t.same);
  }
}

TEST_CASE("an answer in our words") {
  struct {
    std::string head, body;
    bool of_probe;
    AttemptOutcome how;
    std::optional<double> held;
  } table[] = {
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
  for (const auto& t : table) {
    CAPTURE(t.head);
    const http::Message m =
        parse_message(answer, "HTTP/1.1 " + t.head + "\r\nContent-Length: " + std::to_string(t.body.size()) +
                                  "\r\n\r\n" + t.body);
    CHECK(classify_response(m) == t.how);
    CHECK(decode_load_report(m, t.of_probe).in_flight == t.held);
  }
}

TEST_CASE("heads that we write") {
  const http::Message get = parse_message(request,
                                          "GET /read?a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, "
                                          "x-hop\r\nX-Hop: 1\r\nX-Call-Id: 9\r\nX-Budget: 480m\r\n\r\n");
  const http::Message sent = parse_message(
      request,
      "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\nX-Call-Id: 9\r\nA: b\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  const http::Message served = parse_message(
      answer,
      "HTTP/1.1 200 Fine\r\nX-Load-Report: outstanding=1\r\nA: b\r\nContent-Length: 2\r\nC: d\r\n\r\nok");
  struct {
    WriteBuffer what;
    std::string text;
  } table[] = {
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
  for (auto& t : table) CHECK(write_to_socket(std::move(t.what)) == t.text);
}
