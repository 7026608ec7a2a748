#include "hot_restart/shared_directory.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <system_error>

namespace indigorill {
namespace {

constexpr int slot_count = 2;
constexpr mode_t owner_only_directory = 0700;
constexpr mode_t owner_only_file = 0600;

std::string slot_file_name(int slot, const char* extension) {
  return "slot-" + std::to_string(slot) + extension;
}
std::string lock_file_name(int slot) { return slot_file_name(slot, ".lock"); }
std::string record_file_name(int slot) { return slot_file_name(slot, ".json"); }

// A sidecar's name may be a path or an address.
std::string directory_name(std::string sidecar_name) {
  std::replace(sidecar_name.begin(), sidecar_name.end(), '/', '_');
  std::replace(sidecar_name.begin(), sidecar_name.end(), ':', '_');
  return "indigorill-" + sidecar_name;
}

struct flock whole_file_write_lock() {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  return lock;
}

// The lock belongs to the open file, not to the process: the kernel releases it when the last descriptor of
// the open file is closed, also when the process is killed.
bool lock_file(const FileDescriptor& fd) {
  struct flock lock = whole_file_write_lock();
  return ::fcntl(fd.get(), F_OFD_SETLK, &lock) == 0;
}

bool is_locked_elsewhere(const FileDescriptor& fd) {
  struct flock lock = whole_file_write_lock();
  return ::fcntl(fd.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace

SharedDirectory::SharedDirectory(const std::string& parent, const std::string& sidecar_name) {
  if (parent.empty()) throw SlotUnavailable("TMPDIR is not set");
  path_ = parent + "/" + directory_name(sidecar_name);
  if (::mkdir(path_.c_str(), owner_only_directory) < 0 && errno != EEXIST)
    throw std::system_error(errno, std::generic_category(), path_);
  claim_slot();
  other_lock_ = open_slot_lock(1 - own_slot_);
}

void SharedDirectory::claim_slot() {
  for (own_slot_ = 0; own_slot_ < slot_count; ++own_slot_) {
    own_lock_ = open_slot_lock(own_slot_);
    if (lock_file(own_lock_)) return;
  }
  throw SlotUnavailable("two processes of this sidecar run already");
}

FileDescriptor SharedDirectory::open_lock_file(const std::string& name) const {
  return FileDescriptor(::open(file_path(name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, owner_only_file));
}

FileDescriptor SharedDirectory::open_slot_lock(int slot) const {
  FileDescriptor fd = open_lock_file(lock_file_name(slot));
  if (!fd) throw std::system_error(errno, std::generic_category(), path_);
  return fd;
}

bool SharedDirectory::is_other_process_alive() const { return is_locked_elsewhere(other_lock_); }

bool SharedDirectory::write_own_record(const ProcessRecord& record) const {
  return write_file(record_file_name(own_slot_), encode(record));
}

std::optional<ProcessRecord> SharedDirectory::read_other_record() const {
  const auto text = read_file(record_file_name(1 - own_slot_));
  return text ? decode_process_record(*text) : std::nullopt;
}

bool SharedDirectory::write_file(const std::string& name, const std::string& text) const {
  // Both processes may replace the same file at the same time, so each uses a temporary file of its own.
  const std::string temporary_path = file_path(name) + "-" + std::to_string(own_slot_);
  std::ofstream out(temporary_path, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  return out && std::rename(temporary_path.c_str(), file_path(name).c_str()) == 0;
}

std::optional<std::string> SharedDirectory::read_file(const std::string& name) const {
  const std::ifstream in(file_path(name), std::ios::binary);
  if (!in) return {};
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

FileDescriptor SharedDirectory::try_lock(const std::string& name) const {
  FileDescriptor fd = open_lock_file(name);
  if (!fd || !lock_file(fd)) return {};
  return fd;
}

}  // namespace indigorill
