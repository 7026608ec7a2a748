#include "load/http_get.h"

#include <cstdint>
#include <memory>
#include <utility>

#include "event/socket.h"
#include "event/tcp_stream.h"
#include "http/http_parser.h"
#include "load/http_response.h"

namespace indigorill::load_generator {
namespace {

constexpr double poll_interval_ms = 10;
constexpr double ready_request_timeout_ms = 200;

// A request on a connection of its own.
class HttpGet {
 public:
  HttpGet(EventLoop& loop, FileDescriptor socket, const std::string& path) {
    output_.append_owned("GET " + path + " HTTP/1.1\r\nHost: app\r\n\r\n");
    stream_ =
        std::make_unique<TcpStream>(loop, budget_, std::move(socket), [this](std::uint32_t) { on_ready(); });
  }

  bool is_over() const { return is_over_; }
  std::optional<HttpAnswer> take_answer() { return std::move(answer_); }

 private:
  using ParseState = http::HttpParser::ParseState;
  using ReadStatus = TcpStream::ReadStatus;

  void on_ready() {
    while (stream_ && !is_over_) {
      if (!stream_->write(output_)) is_over_ = true;
      std::size_t received = 0;
      const ReadStatus status = stream_->read(parser_.writable_buffer(), received);
      if (status == ReadStatus::would_block) return;
      if (status == ReadStatus::data) parser_.commit(received);
      if (status != ReadStatus::data || parser_.state() != ParseState::reading) is_over_ = true;
      if (parser_.state() != ParseState::complete) continue;
      const http::Message message = parser_.take_message();
      answer_ = HttpAnswer{message.status, std::string(message.body())};
    }
  }

  FileDescriptorBudget budget_{1};
  bool is_over_ = false;
  std::optional<HttpAnswer> answer_;
  http::HttpParser parser_{http::HttpParser::MessageKind::response};
  WriteBuffer output_;
  std::unique_ptr<TcpStream> stream_;
};

void run_for(EventLoop& loop, double duration_ms) {
  const double end_ms = loop.now() + duration_ms;
  while (loop.now() < end_ms) loop.run_once(duration_ms);
}

}  // namespace

std::optional<HttpAnswer> http_get(EventLoop& loop, const sockaddr_in& address, const std::string& path,
                                   double timeout_ms) {
  FileDescriptor socket = start_connect(address);
  if (!socket) return std::nullopt;
  HttpGet get(loop, std::move(socket), path);
  const double end_ms = loop.now() + timeout_ms;
  while (!get.is_over() && loop.now() < end_ms) loop.run_once(poll_interval_ms);
  return get.take_answer();
}

bool wait_until_ready(EventLoop& loop, const sockaddr_in& address, double timeout_ms,
                      const std::function<bool()>& is_hopeless) {
  const double end_ms = loop.now() + timeout_ms;
  while (loop.now() < end_ms && !is_hopeless()) {
    const auto answer = http_get(loop, address, "/-/ready", ready_request_timeout_ms);
    if (answer && answer->status == ok_status) return true;
    run_for(loop, poll_interval_ms);
  }
  return false;
}

}  // namespace indigorill::load_generator
