/// \file
/// Clients of one sidecar that connect, send nothing or half of a request, and keep the connection open.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <memory>
#include <vector>

#include "event/event_loop.h"
#include "event/tcp_stream.h"

namespace indigorill::load_generator {

class ClientCrowd {
 public:
  ClientCrowd(EventLoop& loop, FileDescriptorBudget& descriptors, const sockaddr_in& sidecar);
  ~ClientCrowd();

  void connect(std::size_t idle_clients, std::size_t half_written_clients);
  /// Returns how many half-written clients connected more than `after_ms` ago and got neither an answer nor a
  /// close.
  std::size_t count_unserved(double after_ms) const;

 private:
  struct Client;

  void add_client(bool writes_half);
  void on_ready(Client& client);

  EventLoop& loop_;
  FileDescriptorBudget& descriptors_;
  sockaddr_in sidecar_;
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace indigorill::load_generator
