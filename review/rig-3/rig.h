/// @file
/// Stand-ins for the scripts of the review's cases 7 and 10: endpoints, a discovery agent, clients and the
/// start of sidecar processes. Plain blocking sockets on loopback and a thread for each connection; nothing
/// of the project's own code.
#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

/// Milliseconds since the program started.
double now_ms();
void sleep_ms(double duration_ms);

/// Adds a line with the time to record.txt of the case's folder (the first argument of the program).
void open_record(const std::string& folder);
void record(const std::string& line);
std::string joined(std::initializer_list<std::string_view> parts);

/// One HTTP/1.1 message. Header names are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string path() const;
  int status() const;
  std::string header(const std::string& name) const;
  bool has_close() const { return header("connection") == "close"; }
};

/// Why no message was read.
enum class ReadEnd { message, timeout, closed, reset };

/// One end of a TCP connection, with the bytes that were read and not used.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {}
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  ~Wire();
  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  bool write(const std::string& bytes);
  /// Reads a message with a Content-Length, chunks or no body until `until_ms`.
  ReadEnd read(Message& message, double until_ms);
  bool has_input() const { return !buffer_.empty(); }
  void close();
  /// Closes with a reset.
  void reset();

 private:
  ReadEnd fill(double until_ms);
  bool take(Message& message);
  bool take_chunks(Message& message, std::size_t begin);
  int fd_;
  std::string buffer_;
};

int connect_to(std::uint16_t port);
std::uint16_t free_port();
int listen_on(std::uint16_t port, int backlog);
std::uint16_t port_of(int fd);
std::string address_of(std::uint16_t port);

/// An HTTP server: calls `serve` on a thread of its own for each connection.
class Server {
 public:
  using Serve = std::function<void(Wire& wire)>;
  explicit Server(Serve serve, int backlog = 256);
  std::uint16_t port() const { return port_; }
  std::string address() const { return address_of(port_); }

 private:
  void accept_all();
  Serve serve_;
  int listener_;
  std::uint16_t port_;
};

/// What an endpoint received, for all endpoints together.
struct Arrival {
  std::string endpoint;
  std::string call_id;
  std::string path;
  double at_ms;
};
class Arrivals {
 public:
  void add(const Arrival& arrival);
  std::vector<Arrival> of(const std::string& call_id) const;
  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Arrival> all_;
};

std::string response(int status, const std::string& body, const std::string& headers = "");

/// An entry of the endpoint list, as discovery writes it.
struct Entry {
  std::string id;
  std::string address;
  std::string lifecycle = "up";
  std::string zone = "a";
  int cell = 0;
  double started_at_ms = 0;
  std::string json() const;
};

/// A discovery agent that knows changes as they are made: GET /api/targets, whole and as a watch.
class Agent {
 public:
  explicit Agent(const std::vector<Entry>& entries);
  std::string address() const { return server_.address(); }
  std::string list() const;
  void change(const Entry& entry);

 private:
  void serve(Wire& wire);
  std::string answer(const std::string& path);
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Entry> entries_;
  std::vector<Entry> changes_;  // the change to generation i + 2
  Server server_;
};

/// A sidecar process, started with the deploy file's command from the repository's root.
class Sidecar {
 public:
  /// `environment`: further variables, "NAME=value".
  Sidecar(const std::string& folder, const std::string& name, const std::string& config,
          const std::vector<std::string>& environment = {});
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;
  ~Sidecar();
  bool wait_until_ready(std::uint16_t port, double within_ms) const;
  void signal(int number) const;
  /// Whether the process has ended; its wait status is then in `status`.
  bool has_ended(int& status);

 private:
  pid_t pid_;
  bool reaped_ = false;
  int status_ = 0;
};

/// The fields of a config. `settings` and `known` are JSON.
struct Config {
  std::string name = "n0";
  std::uint16_t port = 0;
  std::string discovery;
  std::string known;
  std::string settings;
  int sockets = 256;
  std::string json() const;
};

/// A temporary folder.
std::string make_folder();
void write_file(const std::string& path, const std::string& text);
/// The text with each of the names replaced by its value.
std::string fill_in(std::string text, const std::map<std::string, std::string>& values);
/// Whether the disruption is wanted: TROUBLE is not 0.
bool trouble();

}  // namespace review
