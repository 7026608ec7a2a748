#include "load/client_crowd.h"

#include <algorithm>
#include <array>
#include <utility>

#include "event/socket.h"

namespace indigorill::load_generator {

struct ClientCrowd::Client {
  double connected_at_ms = 0;
  bool writes_half = false;
  bool is_settled = false;  // the sidecar sent data or the connection ended
  WriteBuffer output;
  std::unique_ptr<TcpStream> transport;
};

ClientCrowd::ClientCrowd(EventLoop& loop, FileDescriptorBudget& descriptors, const sockaddr_in& sidecar)
    : loop_(loop), descriptors_(descriptors), sidecar_(sidecar) {}

ClientCrowd::~ClientCrowd() = default;

void ClientCrowd::connect(std::size_t idle_clients, std::size_t half_written_clients) {
  for (std::size_t i = 0; i < idle_clients; ++i) add_client(false);
  for (std::size_t i = 0; i < half_written_clients; ++i) add_client(true);
}

void ClientCrowd::add_client(bool writes_half) {
  if (descriptors_.available() == 0) return;
  FileDescriptor socket = start_connect(sidecar_);
  if (!socket) return;
  auto client = std::make_unique<Client>();
  client->connected_at_ms = loop_.now();
  client->writes_half = writes_half;
  if (writes_half) client->output.append_owned("GET /read HTTP/1.1\r\nX-Call-Id: half");
  client->transport = std::make_unique<TcpStream>(
      loop_, descriptors_, std::move(socket), [this, raw = client.get()](std::uint32_t) { on_ready(*raw); });
  clients_.push_back(std::move(client));
}

void ClientCrowd::on_ready(Client& client) {
  if (client.is_settled) return;
  const bool is_broken = !client.output.is_complete() && !client.transport->write(client.output);
  std::array<char, 1024> buffer{};
  std::size_t received = 0;
  const auto status = client.transport->read(buffer, received);
  client.is_settled = is_broken || status != TcpStream::ReadStatus::would_block;
}

std::size_t ClientCrowd::count_unserved(double after_ms) const {
  const double now_ms = loop_.now();
  return static_cast<std::size_t>(
      std::count_if(clients_.begin(), clients_.end(), [&](const std::unique_ptr<Client>& client) {
        return client->writes_half && !client->is_settled && now_ms > client->connected_at_ms + after_ms;
      }));
}

}  // namespace indigorill::load_generator
