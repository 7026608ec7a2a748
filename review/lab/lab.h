/// @file
/// Stand-ins for the cases of the review: discovery, a sidecar process, and HTTP over blocking loopback
/// sockets.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the monotonic clock.
double now_ms();
void sleep_ms(double duration_ms);
/// True unless the variable TROUBLE is "0".
bool has_trouble();
/// Allows this process as many descriptors as an ordinary user may have.
void raise_descriptor_limit();
/// Ends the test with status 2: the case could not run.
[[noreturn]] void give_up(const std::string& reason);

/// The file record.txt. Lines carry the time since its creation.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), started_ms_(now_ms()) {}
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  double started_ms_;
};

/// One TCP connection with blocking calls.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int fd() const { return fd_; }
  /// Writes all bytes; false if the connection broke or the time is over.
  bool write(const std::string& bytes, double timeout_ms);
  /// Reads into `input` once. False at the end, on an error, or if nothing came in time.
  bool read(double timeout_ms);

  std::string input;  ///< bytes that were read and not taken yet

 private:
  int fd_;
};

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body = {};
  std::string header(const std::string& name) const;
};

/// Reads one message with a Content-Length or without a body. Nothing if the connection ends or time is over.
std::optional<Message> read_message(Connection& connection, double timeout_ms);
/// An answer with status 200.
std::string ok_answer(const std::string& body);

/// A listening socket on a free port of 127.0.0.1, with a thread for each connection.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  explicit Server(Handler handler);
  std::string address() const { return address_; }

 private:
  void accept_connections(int listener);

  Handler handler_;
  std::string address_;
};

/// Connects to 127.0.0.1 at the port of the address; -1 if the other side refuses. Ends the test with status
/// 2 if this process has no descriptor for it.
int connect_to(const std::string& address);
/// An address on 127.0.0.1 whose port was free a moment ago.
std::string free_address();

/// The agent of discovery: tells one list that does not change, to calls for the list and to watches.
class Discovery {
 public:
  /// `endpoints`: address by id.
  explicit Discovery(const std::map<std::string, std::string>& endpoints);
  std::string address() const { return server_.address(); }
  std::string list() const { return list_; }

 private:
  void serve(Connection& connection) const;

  std::string list_;
  Server server_;
};

/// One sidecar, started with the command `run` of the deploy file from the root of the repository.
class Sidecar {
 public:
  struct Options {
    std::string name = "n0";
    std::string settings;  ///< JSON
    double memory_mb = 64;
    int sockets = 512;
  };
  Sidecar(const std::string& run_command, const Discovery& discovery, const Options& options);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  std::string address() const { return address_; }
  /// Ends the test with status 2 if the sidecar is not ready within 30 s.
  void wait_until_ready();
  /// Resident memory in MB; 0 once the process has ended.
  double resident_mb() const;
  void kill_process();
  bool has_exited();
  /// SIGTERM, and SIGKILL 3.7 s later.
  void stop();

 private:
  std::string address_;
  std::string directory_;
  pid_t pid_ = -1;
  bool has_exited_ = false;
};

struct Request {
  std::string method;  ///< the class; the path is /class/id
  std::string id;
  int budget_ms = 1100;
  bool is_post = false;
  std::string body = {};
  std::string tenant = "spindl";
};
std::string encode(const Request& request);

}  // namespace review
