#include "twin.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <deque>
#include <fstream>
#include <sstream>
#include <utility>

namespace indigorill {
namespace {

constexpr const char* bans_file = "bans.json";
constexpr const char* list_file = "list.json";

std::string slot_file(int slot, const char* ending) { return "slot-" + std::to_string(slot) + ending; }

descriptor open_lock(const std::string& path) {
  return descriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
}

// Of the open file, not of the process: the kernel gives it back when the last descriptor goes, on a kill
// too.
bool take(const descriptor& fd) {
  struct flock l {};
  l.l_type = F_WRLCK;
  l.l_whence = SEEK_SET;
  return ::fcntl(fd.get(), F_OFD_SETLK, &l) == 0;
}

bool taken(const descriptor& fd) {
  struct flock l {};
  l.l_type = F_WRLCK;
  l.l_whence = SEEK_SET;
  return ::fcntl(fd.get(), F_OFD_GETLK, &l) == 0 && l.l_type != F_UNLCK;
}

std::optional<std::string> text_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return {};
  std::ostringstream all;
  all << in.rdbuf();
  return all.str();
}

}  // namespace

struct twin::change_under_way {
  struct wish {
    std::function<void(bans&)> how;
    std::function<void(bool)> then;
  };
  std::deque<wish> wishes;
  std::optional<bans> before;  // what was in force, while the other one has not taken the change over
  double since = 0;
  loop::timer again;
};

twin::twin(loop& in, logger& log_to, const std::string& under, const std::string& sidecar)
    : runs(in), lines(log_to), state(in.now()), asked(std::make_unique<change_under_way>()) {
  if (const std::string why = settle(under, sidecar); !why.empty()) {
    own_lock = {};
    lines.warning() << "works alone, no upgrade without loss and no ban that outlives this process: " << why;
    return;
  }
  publish();
  if (const auto b = stored()) in_force = *b;
  state.applied(in_force.revision);
  state.sees({}, other_lives());
}

// Takes a slot; else says why not.
std::string twin::settle(const std::string& under, const std::string& sidecar) {
  if (under.empty()) return "TMPDIR is not set";
  std::string name = sidecar;
  for (char& c : name)
    if (c == '/' || c == ':') c = '_';
  folder = under + "/indigorill-" + name;
  const auto fault = [&] { return folder + ": " + std::strerror(errno); };
  if (::mkdir(folder.c_str(), 0700) < 0 && errno != EEXIST) return fault();
  for (slot = 0; slot < 2; ++slot) {
    own_lock = open_lock(path(slot_file(slot, ".lock")));
    if (!own_lock) return fault();
    if (take(own_lock)) break;
  }
  if (slot == 2) return "two processes of this sidecar run already";
  other_lock = open_lock(path(slot_file(1 - slot, ".lock")));
  return other_lock ? "" : fault();
}

twin::~twin() = default;

bool twin::write_aside(const std::string& file, const std::string& text) const {
  const std::string aside = path(file) + "-" + std::to_string(slot);
  std::ofstream out(aside, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  return out && std::rename(aside.c_str(), path(file).c_str()) == 0;
}

void twin::publish() {
  if (!works() || published == state.self()) return;
  published = state.self();
  if (!write_aside(slot_file(slot, ".json"), encode(*published)) && !std::exchange(warned, true))
    lines.warning() << "can't write to " << folder << ": the other process doesn't hear of this one";
}

bool twin::other_lives() const { return works() && taken(other_lock); }

std::optional<bans> twin::stored() const {
  const auto text = text_of(path(bans_file));
  if (!text) return bans{};
  auto b = decode_bans(*text);
  if (!b) lines.warning() << "bans in " << folder << " can't be read, taken for none";
  return b;
}

void twin::read_bans() {
  const auto text = text_of(path(bans_file));
  const auto b = text ? decode_bans(*text) : std::nullopt;
  if (!b || *b == in_force) return;
  in_force = *b;
  on_bans(in_force);
  state.applied(in_force.revision);
}

void twin::begin(loop::task changed, std::function<void(const bans&)> out) {
  on_change = std::move(changed);
  on_bans = std::move(out);
  look();
}

// A call to one process has to be in force in the other, and the yes is owed in a second: paired ones look
// often. One alone looks for a newcomer; a system call or two each time.
void twin::look() {
  constexpr double alone = 20, paired = 5;  // ms
  const bool lives = other_lives(), met = lives != state.paired();
  std::optional<record> other;
  if (lives)
    if (const auto text = text_of(path(slot_file(1 - slot, ".json")))) other = decode_record(*text);
  state.sees(other, lives);
  if (lives) read_bans();
  publish();
  if (met || lives || std::exchange(first_look, false)) on_change();
  publish();
  go_on();
  if (works()) next_look = runs.at(runs.now() + (lives ? paired : alone), [this] { look(); });
}

void twin::serves() {
  state.serves();
  publish();
}

void twin::leaves() {
  state.leaves();
  publish();
}

void twin::made_room(bool has) {
  state.made_room(has);
  publish();
}

void twin::change(std::function<void(bans&)> how, std::function<void(bool)> then) {
  asked->wishes.push_back({std::move(how), std::move(then)});
  if (asked->wishes.size() == 1) {
    asked->since = runs.now();
    go_on();
  }
}

void twin::go_on() {
  // An answer is owed in a second; one that would come later is a no, and all is put back as it was.
  constexpr double patience = 700, soon = 5;
  while (!asked->wishes.empty()) {
    const bool late = runs.now() > asked->since + patience;
    const auto write = [&](const bans& b) {
      const bool done = !works() || write_aside(bans_file, encode(b));
      if (done) {
        in_force = b;
        on_bans(in_force);
        state.applied(in_force.revision);
        publish();
      }
      return done;
    };
    std::optional<bool> done;
    if (!asked->before) {
      // Both may be asked at once: what the file says is changed under a lock, and the lock is held for one
      // reading and writing only.
      descriptor lock;
      if (works()) lock = open_lock(path("bans.lock"));
      if (!works() || (lock && take(lock))) {
        if (works()) read_bans();
        asked->before = in_force;
        bans after = in_force;
        asked->wishes.front().how(after);
        if (after.out != in_force.out) {
          ++after.revision;
          if (!write(after)) done = false;
        }
      } else if (late) {
        done = false;
      }
    }
    if (!done && asked->before && state.agreed(in_force.revision)) done = true;
    if (!done && late) {
      bans back = *asked->before;
      back.revision = in_force.revision + 1;
      write(back);
      done = false;
    }
    if (!done) {
      asked->again = runs.at(runs.now() + soon, [this] { go_on(); });
      return;
    }
    const auto then = std::move(asked->wishes.front().then);
    asked->wishes.pop_front();
    asked->before.reset();
    asked->since = runs.now();
    then(*done);
  }
  asked->again.drop();
}

void twin::leave_list(const std::string& text) {
  if (works() && !write_aside(list_file, text))
    lines.warning() << "can't write the list to " << folder << ": the newcomer starts with its own";
}

std::optional<std::string> twin::left_list() const {
  return works() ? text_of(path(list_file)) : std::nullopt;
}

}  // namespace indigorill
