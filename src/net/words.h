// Our words and those of the protocol: what a message's head says of an RPC, a pick or a probe, and the heads
// that we write. The only place that knows the protocol's names, beside discovery's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "../decode/settings.h"
#include "http.h"
#include "indigorill/balance.h"

namespace indigorill {

enum class errand { rpc, readiness, counters, abilities, nothing };

errand errand_of(const http::message& m);

struct call {
  std::string_view id, method;
  double budget = 0;  // ms, from the client's sending
  std::optional<std::uint64_t> key;
  std::string_view tenant;
  bool repeat = false;  // of an earlier one, where clients say so
  int fault = 0;        // the status that tells the client what is wrong with it
};

// Views lead into the message.
call read_call(const http::message& m);

// An answer in our words: how the pick or probe ended, and the load reported with it.
ending ending_of(const http::message& answer);
load load_of(const http::message& answer, bool of_probe);
bool readable_report(const http::message& answer);  // or none

// Heads to be written; what is passed on is lent from the message, which must outlast the writing.
outgoing pick_of(const http::message& call, double patience);
bool asks_head(const http::message& call);  // for the head of the answer alone
// The next part of a body that goes out in pieces; of one whose length is not told, in chunks.
std::string piece_of(std::string_view bytes, bool chunked, bool last);
std::string_view go_on_with_the_body();
outgoing abilities(bool close);
outgoing probe_of(bool with_load);
// old: to a client that knows no chunks; what has no stated length then ends with the connection.
outgoing passed_on(const http::message& answer, bool close, bool head_alone = false, bool old = false);
outgoing pushed_back(double after, bool close);
outgoing aborted(bool close);
outgoing plain(int status, std::string body, bool close);

// What staff ask on the second address.
struct order {
  enum class what { status, members, budgets, out, back } is = what::status;
  std::string id;
  int fault = 0;  // the status that tells the caller what is wrong with it
};
order read_order(const http::message& m);
outgoing ordered(int status, std::string_view text,
                 bool json = false);  // the answer to one; its connection ends with it

}  // namespace indigorill
