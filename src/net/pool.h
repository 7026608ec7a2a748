// Connections to endpoints: opened, reused, retired, and one exchange at a time on each. Decides nothing; an
// exchange ends in one of the balancer's words.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../decode/settings.h"
#include "counters.h"
#include "http.h"
#include "log.h"
#include "patience.h"
#include "socket.h"

namespace indigorill {

class pool {
 public:
  using ticket = std::uint64_t;
  struct result {
    ending how;
    double took;
    http::message answer;  // empty without one
  };
  using done = std::function<void(result)>;
  // One exchange on a connection. Long messages go through in pieces: who takes them says whether it wants
  // more at once, else it asks by resume(); a long request's rest is given by more().
  struct exchange {
    done then;
    std::function<bool(const http::message&)> began = nullptr;  // a long answer; false: it is of no use
    std::function<bool(std::string_view, bool last)> piece = nullptr;
    std::function<void()> wants = nullptr;  // the next piece of a long request
    // What is written once a connection is up, by the time that is then left.
    std::function<outgoing(double left)> told_late = nullptr;
    bool head_alone = false, more_to_come = false;
    double whole_by = 1e18;  // what has its last byte unwritten then was not sent, and ends as withdrawn
  };

  // closes_idle: closes some idle connection elsewhere, if there is one.
  pool(loop& in, descriptor_budget& budget, counters& counts, logger& log_to, links with,
       std::function<bool()> closes_idle);
  ~pool();

  // started: when the process there began, 0 for long ago. What rests at one that moved, was started anew or
  // is no longer ready is given back.
  void listed(const std::string& server, const std::string& address, standing state = standing::ready,
              double started = 0);
  void gone(const std::string& server);  // idle connections there are given back
  // What rests there is given back. What is on its way there: let_go().
  void withheld(const std::string& server, bool is);
  void keep_only(const std::vector<endpoint>& whole_list);
  // What has not one byte written, and leads to an endpoint that is not to be had any more or to a process
  // that is no longer there, ends as withdrawn: a connect in hand when an endpoint drains would else be
  // written to after the grace. Called when the balancer has heard of it, or it would pick the same again.
  void let_go();

  // `then` is called once, later, unless the ticket is given up before. What is lent must last until then.
  ticket send(const std::string& server, outgoing what, double patience, exchange with);
  void resume(ticket which);
  // True if the next piece may be given at once. The last one starts this time-out for the answer.
  bool more(ticket which, std::string bytes, bool last, double patience);
  void give_up(ticket which);  // closes its connection: the endpoint may stop
  // The request's last byte is still to be written: who gives it up now cancels nothing, as it never began.
  bool unsent(ticket which) const;

  bool close_idle();  // the one idle for longest

  // Told how many connections rest at a server, each time that changes.
  void when_resting(std::function<void(const std::string& server, std::size_t connections)> then) {
    resting = std::move(then);
  }

 private:
  struct connection;
  struct place {
    sockaddr_in address{};
    std::vector<ticket> idle;   // the last used is at the end
    std::uint64_t process = 0;  // which one listens there: another number for each that is told
    double started = 0;
    bool withheld = false, ready = true;
    bool open_to(std::uint64_t one) const { return ready && !withheld && process == one; }
  };

  connection* reuse(place& at);
  bool open_still(const connection& c) const;
  void close_idle_at(place& at);
  void open(connection& c, const sockaddr_in* address);  // none: fails as a connect does
  void ready(ticket which, std::uint32_t events);
  void read(connection& c);
  void miss(connection& c);
  void broke(connection& c, ending once_written);
  void break_at(connection& c, double when);  // unless it is connected by then
  void finish(connection& c, ending how, http::message answer, bool keep);
  void rest(connection& c);
  void written(connection& c);
  bool pass_on(connection& c, ending if_broken);
  void await(connection& c, double longest);
  void await_progress(connection& c);
  void close(ticket which);

  loop& runs;
  descriptor_budget& room;
  counters& counted;
  logger& lines;
  links known;
  connect_patience connects;
  std::function<bool()> make_room;
  std::function<void(const std::string&, std::size_t)> resting = [](const auto&, std::size_t) {};
  ticket tickets = 0;
  std::uint64_t processes = 0;
  double answered_twice = -1e18;  // when an endpoint last wrote more than its answer
  std::unordered_map<std::string, place> places;
  std::unordered_map<ticket, std::unique_ptr<connection>> connections;
  std::set<std::pair<double, ticket>> idle;  // by when they were last used
};

}  // namespace indigorill
