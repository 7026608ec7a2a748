/// \file
/// Stand-ins for the cases of the second review: endpoints, a discovery agent, clients, a link with a delay,
/// and the start of the project's sidecar. Blocking sockets, a thread for each connection, loopback only.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds since the start of the program.
double now_ms();
/// Milliseconds since the Unix epoch.
double unix_ms();
void sleep_ms(double duration_ms);
void sleep_until(double at_ms);

/// record.txt: a line for each thing that was sent, answered or run, with its time.
class Record {
 public:
  static void open(const std::string& path);
  static void line(const std::string& text);
};

/// Whether the disruption is to happen: TROUBLE is not "0".
bool has_trouble();

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
  std::string header(const std::string& name) const;
};

/// One side of a TCP connection with a buffer for reading.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  /// False if the connection is broken.
  bool send(const std::string& bytes) const;
  /// False at the end of the stream, after a reset, or if no line comes by `until_ms`.
  bool read_line(std::string& line, double until_ms);
  /// Reads this number of bytes, or fewer if the stream ends; false then.
  bool read_bytes(std::size_t count, std::string& bytes, double until_ms);
  /// Whether bytes wait, or the stream has ended.
  bool has_input() const;
  /// Why the last read ended: "", "closed", "reset" or "silent".
  const std::string& failure() const { return failure_; }
  void reset() const;  ///< the close will be a reset
  void shut_down() const;

  /// Reads a whole request. False if there is none.
  bool read_request(Request& request, double until_ms);

 private:
  bool fill(double until_ms);
  bool read_chunks(std::string& body, double until_ms);

  int fd_;
  std::string buffer_;
  std::string failure_;
};

/// Accepts on a free port of 127.0.0.1 and runs the handler in a thread for each connection.
class Server {
 public:
  using Handler = std::function<void(Connection& connection)>;
  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int port() const { return port_; }

 private:
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

/// Forwards each connection to `target` and delays the bytes of both directions.
class Link {
 public:
  Link(std::string target, double delay_ms);
  std::string address() const { return server_.address(); }

 private:
  std::string target_;
  double delay_ms_;
  Server server_;
};

/// An endpoint. It answers health checks itself and gives each RPC to the handler.
class Endpoint {
 public:
  using Handler = std::function<void(Connection& connection, const Request& request)>;
  Endpoint(std::string id, Handler handler);
  const std::string& id() const { return id_; }
  std::string address() const { return server_.address(); }

 private:
  std::string id_;
  Handler handler_;
  std::atomic<int> in_flight_{0};
  Server server_;
};

/// A discovery agent that has a list of endpoints and answers polls and watches.
class Agent {
 public:
  struct Entry {
    std::string id;
    std::string address;
    std::string zone;
    std::string lifecycle = "up";
    std::uint64_t changed_in = 0;  ///< the version of its last change
  };
  Agent();
  std::string address() const { return server_.address(); }
  void add(const std::string& id, const std::string& address, const std::string& zone);
  void set_lifecycle(const std::string& id, const std::string& lifecycle);
  /// The complete list, or the changes since a version.
  std::string list(bool is_complete, std::uint64_t since);

 private:
  void serve(Connection& connection);

  std::mutex mutex_;
  std::vector<Entry> entries_;
  std::uint64_t version_ = 40;
  Server server_;
};

/// The project's sidecar, started from the repository's root with the command of the deploy file.
class Sidecar {
 public:
  /// `settings`: the JSON object of that name; `limits` as well.
  Sidecar(std::string name, std::string settings, std::string limits);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Starts the process. False if it isn't ready within 30 s.
  bool start(const std::string& agent_address, const std::string& known);
  void signal(int number) const;
  bool has_ended();
  /// Kills the process if it runs, and removes its folder.
  void end();
  int port() const { return port_; }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  std::string settings_;
  std::string limits_;
  std::string folder_;
  int port_;
  pid_t pid_ = -1;
  bool ended_ = false;
};

/// What a client got.
struct Answer {
  int status = 0;      ///< 0: none
  std::string ending;  ///< "whole", "closed", "reset" or "silent"
  std::string body;
  bool closes = false;  ///< the answer ends its connection
  double first_byte_at_ms = 0;
  double ended_at_ms = 0;
};

/// Kills the sidecars that still run, removes their folders and ends the program with this status, without
/// waiting for the threads of the stand-ins.
[[noreturn]] void finish(int status);

/// A connection to 127.0.0.1 on this port; null if it is refused.
std::unique_ptr<Connection> connect_to(int port);
std::string request_head(const std::string& method, const std::string& target, const std::string& id,
                         int budget_ms, const std::string& more_headers);
Answer read_answer(Connection& connection, double until_ms);

std::string whole_answer(int status, const std::string& body, const std::string& more_headers = "");

/// Settings of a small deployment, with the names of the wire page.
struct Method {
  std::string name;
  std::string effect;
  int target_ms;
  int deadline_ms;
  int utility;
};
std::string settings(const std::vector<Method>& methods, const std::string& zone, int drain_grace_ms);

}  // namespace review
