// The list of endpoints: calls, the watch that is kept open, and what their answers say. Where the balancer
// asks for the list by itself, it decides when.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_fields.h"
#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "indigorill/load_balancer.h"
#include "logging/logger.h"
#include "metrics/counters.h"

namespace indigorill {

struct EndpointListUpdate {
  struct Entry {
    Endpoint endpoint;
    std::string address;
  };
  std::uint64_t version = 0;
  bool complete = false;
  std::vector<Entry> entries;
};

EndpointListUpdate decode_endpoint_list(const JsonFields& f);   // throws malformed
EndpointListUpdate parse_endpoint_list(std::string_view text);  // as well
std::string encode_endpoint_list(const EndpointListUpdate& r);

class DiscoveryClient {
 public:
  using UpdateHandler = std::function<void(const EndpointListUpdate&)>;

  DiscoveryClient(EventLoop& in, FileDescriptorBudget& budget, Counters& counts, Logger& log_to,
                  const sockaddr_in& where, std::string name, std::uint64_t seed, double grace,
                  UpdateHandler then, EventLoop::Callback on_failure);
  ~DiscoveryClient();

  void poll();  // with a watch from the version last had; with the whole list where none was
  // The version of a list that is known already, from before the start.
  void set_known_version(std::uint64_t had) {
    version_ = had;
    needs_complete_list_ = false;
  }
  // To another agent, which may count versions otherwise: what was told stays until it tells the whole list.
  void switch_agent(const sockaddr_in& where, std::string name);
  void enable_continuous_polling() { polls_continuously_ = true; }

 private:
  void send_poll_request();
  void handle_events(std::uint32_t events);
  void handle_response(const http::Message& m);
  void handle_failure(const std::string& why);

  EventLoop& event_loop_;
  FileDescriptorBudget& descriptor_budget_;
  Counters& counters_;
  Logger& logger_;
  sockaddr_in agent_address_;
  std::string agent_host_;
  std::knuth_b random_engine_;
  UpdateHandler on_update_;
  EventLoop::Callback on_failure_;
  double prompt_timeout_ms_;  // ms, in which an agent that is there has answered what needs no wait
  bool polls_continuously_ = false, needs_complete_list_ = true, connected_ = false, is_failing_ = false;
  bool last_poll_succeeded_ = false;  // the last call was answered: the next may wait at the agent
  std::uint64_t version_ = 0;
  double poll_started_at_ms_ = 0;
  std::unique_ptr<TcpStream> connection_;
  http::HttpParser parser_;
  WriteBuffer request_;
  EventLoop::Timer response_timer_, connect_timer_, poll_timer_;
};

}  // namespace indigorill
