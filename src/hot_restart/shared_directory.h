/// \file
/// The directory that the two processes of one sidecar share during a hot restart. It holds locks that show
/// which processes are alive, and small files that are replaced atomically.
///
/// There are two slots, one for each process. A process counts as alive while it holds the lock of a slot,
/// which the kernel releases however the process ends.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "event/event_loop.h"
#include "hot_restart/hot_restart_record.h"

namespace indigorill {

/// No slot can be claimed: no parent directory is set, or two processes of this sidecar run already.
struct SlotUnavailable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class SharedDirectory {
 public:
  /// Creates `<parent>/indigorill-<sidecar name>` if it is missing and claims one of its slots, which the
  /// destructor releases. Throws SlotUnavailable, or std::system_error if a system call fails.
  SharedDirectory(const std::string& parent, const std::string& sidecar_name);

  const std::string& path() const { return path_; }

  bool is_other_process_alive() const;

  /// Publishes this process's record; false if it can't be written.
  bool write_own_record(const ProcessRecord& record) const;
  /// The other process's record; empty if there is none or it can't be decoded.
  std::optional<ProcessRecord> read_other_record() const;

  /// Replaces the file atomically, so that no reader sees a part of it; false if it can't be written.
  bool write_file(const std::string& name, const std::string& text) const;
  /// Content of the file; empty if it can't be opened.
  std::optional<std::string> read_file(const std::string& name) const;
  /// Opens a file that holds no data but locks, and creates it if it is missing. The descriptor is invalid if
  /// the file can't be opened.
  FileDescriptor open_lock_file(const std::string& name) const;
  /// Takes the lock of this name without waiting and holds it until the returned descriptor is closed. The
  /// descriptor is invalid if the lock is held elsewhere or its file can't be opened.
  FileDescriptor try_lock(const std::string& name) const;

 private:
  void claim_slot();
  std::string file_path(const std::string& name) const { return path_ + "/" + name; }
  FileDescriptor open_slot_lock(int slot) const;

  std::string path_;
  int own_slot_ = 0;
  FileDescriptor own_lock_;
  FileDescriptor other_lock_;
};

}  // namespace indigorill
