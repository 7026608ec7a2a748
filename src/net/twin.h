// The other process of this sidecar, by files and locks in a folder that both see: while one takes over from
// the other, each says how it is and keeps to its part. src/handover/ decides, this reads and writes.
//
// A process lives as long as the kernel holds its lock on one of two slots, however it ends. Files are
// written aside and renamed, so that nobody reads half of one.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "../handover/handover.h"
#include "log.h"
#include "loop.h"

namespace indigorill {

class twin {
 public:
  // folder: empty, or one that can't be written to, and the process works alone.
  twin(loop& in, logger& log_to, const std::string& folder, const std::string& sidecar);
  ~twin();

  // `changed`: at first, while there are two, and when the other one has gone. `out`: the endpoints out by
  // hand, when another process changed them; both are called from the loop.
  void begin(loop::task changed, std::function<void(const bans&)> out);

  const handover& is() const { return state; }
  const bans& agreed() const { return in_force; }

  void serves();
  void leaves();
  void made_room(bool has);

  // Changes the set of what is out, in all processes of this sidecar before `then` says so; a no leaves it as
  // it was.
  void change(std::function<void(bans&)> how, std::function<void(bool done)> then);

  // The list as the elder last had it, in discovery's form: a newcomer's own may be as old as its config.
  void leave_list(const std::string& text);
  std::optional<std::string> left_list() const;

 private:
  struct change_under_way;

  std::string settle(const std::string& under, const std::string& sidecar);
  bool works() const { return static_cast<bool>(own_lock); }
  std::string path(const std::string& file) const { return folder + "/" + file; }
  bool write_aside(const std::string& file, const std::string& text) const;
  void publish();
  void look();
  bool other_lives() const;
  void read_bans();
  void go_on();
  std::optional<bans> stored() const;

  loop& runs;
  logger& lines;
  std::string folder;
  handover state;
  bans in_force;
  int slot = 0;
  descriptor own_lock, other_lock;
  std::optional<record> published;
  bool warned = false, first_look = true;
  loop::task on_change = [] {};
  std::function<void(const bans&)> on_bans = [](const bans&) {};
  loop::timer next_look;
  std::unique_ptr<change_under_way> asked;
};

}  // namespace indigorill
