/// The directory that the two processes of one sidecar share during a hot restart: locks that tell which
/// processes live, and small files that are replaced atomically.
///
/// There are two slots, one for each process. A process lives as long as the kernel holds its lock on a slot,
/// however it ends.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "event/event_loop.h"
#include "hot_restart/hot_restart_record.h"

namespace indigorill {

/// No slot can be claimed: there is no parent directory, or two processes of this sidecar run already.
struct SlotUnavailable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class SharedDirectory {
 public:
  /// Creates `<parent>/indigorill-<sidecar name>` if it is missing and claims one of its slots, which is
  /// released by the destructor. Throws SlotUnavailable, or std::system_error where the kernel refuses.
  SharedDirectory(const std::string& parent, const std::string& sidecar_name);

  const std::string& path() const { return path_; }

  bool is_other_process_alive() const;

  /// Publishes this process's record; false if it can't be written.
  bool write_own_record(const ProcessRecord& record) const;
  /// Empty if there is none or it can't be decoded.
  std::optional<ProcessRecord> read_other_record() const;

  /// Replaces the file, so that no reader sees half of it; false if it can't be written.
  bool write_file(const std::string& name, const std::string& text) const;
  /// Empty if the file can't be opened.
  std::optional<std::string> read_file(const std::string& name) const;
  /// Holds the lock of this name until the descriptor is closed; an invalid descriptor if it is held
  /// elsewhere or its file can't be opened. Doesn't wait.
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
