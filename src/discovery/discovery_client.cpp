#include "discovery/discovery_client.h"

#include <algorithm>
#include <utility>

namespace indigorill {
namespace {

constexpr std::size_t max_endpoint_list_bytes = 4 * 1024 * 1024;  // some 20,000 entries

}  // namespace

EndpointListUpdate decode_endpoint_list(const JsonFields& f) {
  EndpointListUpdate r;
  r.version = f.unsigned_integer("generation");
  r.complete = f.boolean("reset");
  f.require("instances");
  for (const auto& j : f.array("instances")) {
    const JsonFields e = f.element("instances", j);
    EndpointListUpdate::Entry to;
    to.endpoint.id = e.string("instanceId");
    to.endpoint.state = e.enum_value<EndpointState>("lifecycle", {{"up", EndpointState::ready},
                                                                  {"draining", EndpointState::draining},
                                                                  {"removed", EndpointState::gone}});
    to.address = to.endpoint.state == EndpointState::gone ? e.string("hostPort", "") : e.string("hostPort");
    to.endpoint.zone = e.string("zone", "");
    to.endpoint.cell = e.integer("cell", 0);
    to.endpoint.started_at_ms = e.number("startedAtMs", 0);
    to.endpoint.machine_type = e.string("machineType", "");
    r.entries.push_back(std::move(to));
  }
  return r;
}

EndpointListUpdate parse_endpoint_list(std::string_view text) {
  const auto j = nlohmann::json::parse(text, nullptr, false);
  if (j.is_discarded()) throw ParseError("list: is not JSON");
  return decode_endpoint_list(JsonFields("list", j));
}

std::string encode_endpoint_list(const EndpointListUpdate& r) {
  nlohmann::json all = nlohmann::json::array();
  for (const EndpointListUpdate::Entry& e : r.entries)
    all.push_back({{"instanceId", e.endpoint.id},
                   {"hostPort", e.address},
                   {"zone", e.endpoint.zone},
                   {"cell", e.endpoint.cell},
                   {"machineType", e.endpoint.machine_type},
                   {"lifecycle", e.endpoint.state == EndpointState::ready      ? "up"
                                 : e.endpoint.state == EndpointState::draining ? "draining"
                                                                               : "removed"},
                   {"startedAtMs", e.endpoint.started_at_ms}});
  return nlohmann::json{{"generation", r.version}, {"reset", r.complete}, {"instances", all}}.dump();
}

DiscoveryClient::DiscoveryClient(EventLoop& in, FileDescriptorBudget& budget, Counters& counts,
                                 Logger& log_to, const sockaddr_in& where, std::string name,
                                 std::uint64_t seed, double grace, UpdateHandler then,
                                 EventLoop::Callback on_failure)
    : event_loop_(in),
      descriptor_budget_(budget),
      counters_(counts),
      logger_(log_to),
      agent_address_(where),
      agent_host_(std::move(name)),
      random_engine_(static_cast<std::knuth_b::result_type>(seed | 1)),
      on_update_(std::move(then)),
      on_failure_(std::move(on_failure)),
      // What the agent holds counts as told, so two of these, a try in vain and the pause behind it, have to
      // pass well within the grace. At least what a process may wait for its core.
      prompt_timeout_ms_(std::clamp(grace / 4, 20.0, 250.0)),
      parser_(http::HttpParser::MessageKind::response, max_endpoint_list_bytes) {}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::poll() { send_poll_request(); }

void DiscoveryClient::switch_agent(const sockaddr_in& where, std::string name) {
  agent_address_ = where;
  agent_host_ = std::move(name);
  connection_.reset();
  needs_complete_list_ = true;
  last_poll_succeeded_ = false;
  poll();
}

void DiscoveryClient::send_poll_request() {
  // A watch that fell silent is broken, and what it misses counts as told 6 s after that, or 2 s after the
  // wait where that is later: with this wait, silence is found within 3 s of its first moment. Once broken,
  // the next call is one that needs no wait, and its answer is due at once.
  constexpr double wait = 2000, travel = 1000, at_once = 1, asked_for = 1500;
  // A second call on a connection whose answer is still to come would be taken for an answer to the first.
  if (response_timer_.is_set()) connection_.reset();
  poll_timer_.cancel();
  connect_timer_.cancel();
  const bool watches = last_poll_succeeded_ && !needs_complete_list_;
  // Where the balancer asks, the list's one service may take its time.
  const double prompt = polls_continuously_ ? prompt_timeout_ms_ : asked_for;
  std::string target = "/api/targets";
  if (!needs_complete_list_)
    target += "?index=" + std::to_string(version_) + "&wait=" +
              std::to_string(static_cast<long long>(watches || !polls_continuously_ ? wait : at_once));
  poll_started_at_ms_ = event_loop_.now();
  logger_.debug() << "list: calls " << target;
  request_ = {};
  request_.append_owned("GET " + target + " HTTP/1.1\r\nHost: " + agent_host_ + "\r\n\r\n");
  response_timer_ = event_loop_.schedule_at(
      poll_started_at_ms_ +
          (watches || (!polls_continuously_ && !needs_complete_list_) ? wait + travel : prompt),
      [this] { handle_failure("no answer in time"); });
  if (!connection_) {
    FileDescriptor fd = start_connect(agent_address_);
    if (!fd) return handle_failure("no connection");
    connected_ = false;
    // One that doesn't come up must not pass for a watch that waits.
    connect_timer_ = event_loop_.schedule_at(poll_started_at_ms_ + prompt,
                                             [this] { handle_failure("no connection in time"); });
    parser_ = http::HttpParser(http::HttpParser::MessageKind::response, max_endpoint_list_bytes);
    connection_ = std::make_unique<TcpStream>(event_loop_, descriptor_budget_, std::move(fd),
                                              [this](std::uint32_t e) { handle_events(e); });
    return;
  }
  handle_events(EPOLLOUT);
}

void DiscoveryClient::handle_events(std::uint32_t events) {
  if (!connected_) {
    if (events & (EPOLLERR | EPOLLHUP) || connection_->pending_error() != 0)
      return handle_failure("no connection");
    if (!(events & EPOLLOUT)) return;
    connected_ = true;
    connect_timer_.cancel();
  }
  if (!connection_->write(request_)) return handle_failure("connection broke");
  constexpr int turns = 16;
  for (int i = 0; i < turns; ++i) {
    std::size_t n = 0;
    const TcpStream::ReadStatus got = connection_->read(parser_.writable_buffer(), n);
    if (got == TcpStream::ReadStatus::would_block) return;
    if (got == TcpStream::ReadStatus::data) parser_.commit(n);
    if (got == TcpStream::ReadStatus::end_of_stream) parser_.on_end_of_stream();
    const bool over = got == TcpStream::ReadStatus::end_of_stream || got == TcpStream::ReadStatus::error;
    if (parser_.state() == http::HttpParser::ParseState::complete) {
      const http::Message m = parser_.take_message();
      if (over || !m.keep_alive) connection_.reset();
      return handle_response(m);
    }
    if (over && !response_timer_.is_set())
      return connection_.reset();  // between two calls: the next one opens another
    if (over) return handle_failure("connection broke");
    if (parser_.state() == http::HttpParser::ParseState::error) return handle_failure("malformed answer");
  }
  connection_->requeue();
}

void DiscoveryClient::handle_response(const http::Message& m) {
  response_timer_.cancel();
  if (m.status != 200) return handle_failure("status " + std::to_string(m.status));
  EndpointListUpdate r;
  try {
    r = parse_endpoint_list(m.body());
    // Changes to what we don't have say nothing; an agent that begins anew tells its whole list.
    if (!r.complete && (needs_complete_list_ || r.version < version_))
      throw ParseError("list: changes of an older list");
  } catch (const ParseError& e) {
    // The old list stays: one bad answer must not leave us without endpoints.
    ++counters_.malformed_endpoint_lists;
    needs_complete_list_ = true;
    return handle_failure(e.what());
  }
  logger_.debug() << "list: version " << r.version << " after " << event_loop_.now() - poll_started_at_ms_
                  << " ms";
  if (is_failing_) logger_.info() << "list is back, version " << r.version;
  is_failing_ = false;
  ++counters_.endpoint_list_updates;
  version_ = r.version;
  needs_complete_list_ = false;
  on_update_(r);
  // At once, since what changes in between counts as told; but an agent that doesn't wait must not make us
  // spin.
  constexpr double too_soon = 20, breath = 100;  // ms; a watch goes on for 200
  const bool hasty =
      last_poll_succeeded_ && r.entries.empty() && event_loop_.now() - poll_started_at_ms_ < too_soon;
  last_poll_succeeded_ = true;
  poll_timer_ =
      event_loop_.schedule_at(event_loop_.now() + (hasty ? breath : 0), [this] { send_poll_request(); });
}

void DiscoveryClient::handle_failure(const std::string& why) {
  logger_.debug() << "list: " << why << " after " << event_loop_.now() - poll_started_at_ms_ << " ms";
  ++counters_.endpoint_poll_failures;
  if (!is_failing_) logger_.warning() << "list: " << why << "; the old one stays in force";
  is_failing_ = true;
  response_timer_.cancel();
  connect_timer_.cancel();
  connection_.reset();
  const bool was_proven = std::exchange(last_poll_succeeded_, false);
  if (polls_continuously_) {
    // Spread by chance: what is behind the agents serves all of them.
    poll_timer_ = event_loop_.schedule_at(
        event_loop_.now() +
            prompt_timeout_ms_ * std::uniform_real_distribution<double>(0.5, 1)(random_engine_),
        [this] { send_poll_request(); });
  } else if (was_proven) {
    // A watch that broke is opened anew at once: what it misses counts as told soon, and the balancer's word
    // on when to ask is meant for a service that can't answer.
    poll_timer_ = event_loop_.schedule_at(event_loop_.now(), [this] { send_poll_request(); });
  } else {
    on_failure_();
  }
}

}  // namespace indigorill
