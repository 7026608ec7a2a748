/// \file
/// Clients of one sidecar that connect and say nothing, or half of a request, and stay.
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
  /// Half-written clients that are neither answered nor closed so long after they connected.
  std::size_t forgotten(double after_ms) const;

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
