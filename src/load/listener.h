// What a stand-in serves by: a door on loopback and its connections, one request at a time on each.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "../net/http.h"
#include "../net/socket.h"

namespace indigorill::loading {

class listener {
 public:
  // Called with each whole request; the answer may come later, by answer().
  using asked = std::function<void(std::uint64_t connection, const http::message& m)>;

  listener(loop& in, descriptor_budget& budget, asked then, std::function<void(std::uint64_t)> closed,
           std::uint16_t port);
  ~listener();

  void open();  // port 0: the first time at one of the kernel's choice, then at that again
  void shut();  // the door and every connection
  void freeze() { frozen = true; }  // until it is shut: nothing is accepted, read or written, nothing ends
  void answer(std::uint64_t connection, std::string bytes);

  const sockaddr_in& where() const { return place; }
  std::size_t connections() const { return sides.size(); }

 private:
  struct side;
  void accept();
  void read(std::uint64_t which);
  void write(side& s);
  void close(std::uint64_t which);

  loop& runs;
  descriptor_budget& counted;
  asked then;
  std::function<void(std::uint64_t)> closed;
  sockaddr_in place{};
  descriptor door;
  loop::watch at_door;
  bool frozen = false;
  std::uint64_t names = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<side>> sides;
};

std::string text_of(const sockaddr_in& a);

}  // namespace indigorill::loading
