#include "hot_restart/hot_restart.h"

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

constexpr const char* ejection_file_name = "bans.json";
constexpr const char* endpoint_list_file_name = "list.json";

std::string slot_file_name(int slot, const char* ending) { return "slot-" + std::to_string(slot) + ending; }

FileDescriptor open_lock_file(const std::string& path) {
  return FileDescriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
}

// Of the open file, not of the process: the kernel gives it back when the last descriptor goes, on a kill
// too.
bool take(const FileDescriptor& fd) {
  struct flock l {};
  l.l_type = F_WRLCK;
  l.l_whence = SEEK_SET;
  return ::fcntl(fd.get(), F_OFD_SETLK, &l) == 0;
}

bool is_locked_elsewhere(const FileDescriptor& fd) {
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

struct HotRestart::PendingChanges {
  struct EjectionChange {
    std::function<void(EjectionRecord&)> apply;
    std::function<void(bool)> on_done;
  };
  std::deque<EjectionChange> queue;
  std::optional<EjectionRecord>
      previous_ejections;  // what was in force, while the other one has not taken the change over
  double started_at_ms = 0;
  EventLoop::Timer retry_timer;
};

HotRestart::HotRestart(EventLoop& in, Logger& log_to, const std::string& under, const std::string& sidecar)
    : event_loop_(in),
      logger_(log_to),
      policy_(in.now()),
      pending_changes_(std::make_unique<PendingChanges>()) {
  if (const std::string why = claim_slot(under, sidecar); !why.empty()) {
    own_lock_ = {};
    logger_.warning() << "works alone, no upgrade without loss and no ban that outlives this process: "
                      << why;
    return;
  }
  publish_record();
  if (const auto b = read_stored_ejections()) ejections_ = *b;
  policy_.set_ejection_revision(ejections_.revision);
  policy_.update_other_process({}, is_other_process_alive());
}

// Takes a slot; else says why not.
std::string HotRestart::claim_slot(const std::string& under, const std::string& sidecar) {
  if (under.empty()) return "TMPDIR is not set";
  std::string name = sidecar;
  for (char& c : name)
    if (c == '/' || c == ':') c = '_';
  directory_ = under + "/indigorill-" + name;
  const auto fault = [&] { return directory_ + ": " + std::strerror(errno); };
  if (::mkdir(directory_.c_str(), 0700) < 0 && errno != EEXIST) return fault();
  for (slot_ = 0; slot_ < 2; ++slot_) {
    own_lock_ = open_lock_file(file_path(slot_file_name(slot_, ".lock")));
    if (!own_lock_) return fault();
    if (take(own_lock_)) break;
  }
  if (slot_ == 2) return "two processes of this sidecar run already";
  other_lock_ = open_lock_file(file_path(slot_file_name(1 - slot_, ".lock")));
  return other_lock_ ? "" : fault();
}

HotRestart::~HotRestart() = default;

bool HotRestart::write_atomically(const std::string& file, const std::string& text) const {
  const std::string aside = file_path(file) + "-" + std::to_string(slot_);
  std::ofstream out(aside, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  return out && std::rename(aside.c_str(), file_path(file).c_str()) == 0;
}

void HotRestart::publish_record() {
  if (!is_enabled() || published_record_ == policy_.own_record()) return;
  published_record_ = policy_.own_record();
  if (!write_atomically(slot_file_name(slot_, ".json"), encode(*published_record_)) &&
      !std::exchange(write_failure_logged_, true))
    logger_.warning() << "can't write to " << directory_ << ": the other process doesn't hear of this one";
}

bool HotRestart::is_other_process_alive() const { return is_enabled() && is_locked_elsewhere(other_lock_); }

std::optional<EjectionRecord> HotRestart::read_stored_ejections() const {
  const auto text = text_of(file_path(ejection_file_name));
  if (!text) return EjectionRecord{};
  auto b = decode_ejection_record(*text);
  if (!b) logger_.warning() << "bans in " << directory_ << " can't be read, taken for none";
  return b;
}

void HotRestart::refresh_ejections() {
  const auto text = text_of(file_path(ejection_file_name));
  const auto b = text ? decode_ejection_record(*text) : std::nullopt;
  if (!b || *b == ejections_) return;
  ejections_ = *b;
  on_ejections_changed_(ejections_);
  policy_.set_ejection_revision(ejections_.revision);
}

void HotRestart::start(EventLoop::Callback changed, std::function<void(const EjectionRecord&)> out) {
  on_change_ = std::move(changed);
  on_ejections_changed_ = std::move(out);
  poll_other_process();
}

// A call to one process has to be in force in the other, and the yes is owed in a second: paired ones look
// often. One alone looks for a newcomer; a system call or two each time.
void HotRestart::poll_other_process() {
  constexpr double alone = 20, paired = 5;  // ms
  const bool lives = is_other_process_alive(), met = lives != policy_.is_paired();
  std::optional<ProcessRecord> other;
  if (lives)
    if (const auto text = text_of(file_path(slot_file_name(1 - slot_, ".json"))))
      other = decode_process_record(*text);
  policy_.update_other_process(other, lives);
  if (lives) refresh_ejections();
  publish_record();
  if (met || lives || std::exchange(is_first_poll_, false)) on_change_();
  publish_record();
  advance_changes();
  if (is_enabled())
    poll_timer_ = event_loop_.schedule_at(event_loop_.now() + (lives ? paired : alone),
                                          [this] { poll_other_process(); });
}

void HotRestart::start_serving() {
  policy_.start_serving();
  publish_record();
}

void HotRestart::start_draining() {
  policy_.start_draining();
  publish_record();
}

void HotRestart::set_limits_reduced(bool has) {
  policy_.set_limits_reduced(has);
  publish_record();
}

void HotRestart::change_ejections(std::function<void(EjectionRecord&)> how, std::function<void(bool)> then) {
  pending_changes_->queue.push_back({std::move(how), std::move(then)});
  if (pending_changes_->queue.size() == 1) {
    pending_changes_->started_at_ms = event_loop_.now();
    advance_changes();
  }
}

void HotRestart::advance_changes() {
  // An answer is owed in a second; one that would come later is a no, and all is put back as it was.
  constexpr double patience = 700, soon = 5;
  while (!pending_changes_->queue.empty()) {
    const bool late = event_loop_.now() > pending_changes_->started_at_ms + patience;
    const auto write = [&](const EjectionRecord& b) {
      const bool done = !is_enabled() || write_atomically(ejection_file_name, encode(b));
      if (done) {
        ejections_ = b;
        on_ejections_changed_(ejections_);
        policy_.set_ejection_revision(ejections_.revision);
        publish_record();
      }
      return done;
    };
    std::optional<bool> done;
    if (!pending_changes_->previous_ejections) {
      // Both may be asked at once: what the file says is changed under a lock, and the lock is held for one
      // reading and writing only.
      FileDescriptor lock;
      if (is_enabled()) lock = open_lock_file(file_path("bans.lock"));
      if (!is_enabled() || (lock && take(lock))) {
        if (is_enabled()) refresh_ejections();
        pending_changes_->previous_ejections = ejections_;
        EjectionRecord after = ejections_;
        pending_changes_->queue.front().apply(after);
        if (after.ejected != ejections_.ejected) {
          ++after.revision;
          if (!write(after)) done = false;
        }
      } else if (late) {
        done = false;
      }
    }
    if (!done && pending_changes_->previous_ejections && policy_.is_revision_in_force(ejections_.revision))
      done = true;
    if (!done && late) {
      EjectionRecord back = *pending_changes_->previous_ejections;
      back.revision = ejections_.revision + 1;
      write(back);
      done = false;
    }
    if (!done) {
      pending_changes_->retry_timer =
          event_loop_.schedule_at(event_loop_.now() + soon, [this] { advance_changes(); });
      return;
    }
    const auto then = std::move(pending_changes_->queue.front().on_done);
    pending_changes_->queue.pop_front();
    pending_changes_->previous_ejections.reset();
    pending_changes_->started_at_ms = event_loop_.now();
    then(*done);
  }
  pending_changes_->retry_timer.cancel();
}

void HotRestart::write_endpoint_list(const std::string& text) {
  if (is_enabled() && !write_atomically(endpoint_list_file_name, text))
    logger_.warning() << "can't write the list to " << directory_ << ": the newcomer starts with its own";
}

std::optional<std::string> HotRestart::read_endpoint_list() const {
  return is_enabled() ? text_of(file_path(endpoint_list_file_name)) : std::nullopt;
}

}  // namespace indigorill
