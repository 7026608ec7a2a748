// Sockets on owned descriptors, and the thin driver that moves bytes between them and the parsers.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "../decode/fields.h"
#include "loop.h"

namespace indigorill {

// "address:port"; none if it is not one.
std::optional<sockaddr_in> parse_address(const std::string& text);

// Descriptors that the process may hold, and those that it does. Whoever opens one asks first.
struct descriptor_budget {
  std::size_t most, open = 0;
  std::size_t left() const { return most > open ? most - open : 0; }
};

descriptor listen_on(const sockaddr_in& where);
// One that listens already and that others hold too. Throws malformed if it is none.
descriptor adopt_listener(int fd);
descriptor connect_to(const sockaddr_in& where);  // begins; none if it can't

// Pieces of a message to be written in one go, and how far that has come. Pieces of others must stay where
// they are until it is done.
class outgoing {
 public:
  void own(std::string piece);  // kept here
  void lend(std::string_view piece);
  bool done() const { return at == pieces.size(); }
  bool begun() const { return sent > 0; }  // some of it was written
  std::size_t written() const { return sent; }

 private:
  friend class stream;
  std::deque<std::string> owned;
  std::vector<std::string_view> pieces;
  std::size_t at = 0;  // the first piece not written whole; it is shortened as it goes
  std::size_t sent = 0;
};

// A non-blocking connection in the loop.
class stream {
 public:
  enum class got { some, nothing, ended, broken };

  stream(loop& in, descriptor_budget& budget, descriptor owned, loop::events_task ready,
         loop::rank as = loop::rank::usual);
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  got read(std::span<char> room, std::size_t& count);
  got discard();  // some of what came, uncopied
  // How long ago, in ms, the last bytes read had come to this machine; 0 where the listener doesn't tell.
  double age() const { return waited; }
  bool write(outgoing& what);      // false if it is broken; done() tells whether all went out
  int pending_error() const;       // of a connect, for one
  bool stale() const;              // the other side has closed it, or wrote unasked
  bool waiting() const;            // bytes came that are not read yet
  std::uint32_t end_seen() const;  // EPOLLRDHUP, EPOLLHUP, EPOLLERR, as epoll would tell now; 0: none of them
  void end_sending();
  void abort_on_close();       // the other side sees a reset, not an end
  std::size_t unread() const;  // bytes written that the other side's machine has not taken
  void again() { runs.again(place); }

 private:
  loop& runs;
  descriptor_budget& counted;
  descriptor fd;
  double waited = 0;
  loop::watch place;  // goes before the descriptor
};

}  // namespace indigorill
