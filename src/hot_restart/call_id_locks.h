/// \file
/// The call ids that are open in any process of one sidecar: during a hot restart, an id that is open in the
/// parent must not be accepted by the child, or the reverse.
#pragma once

#include <string_view>

#include "event/file_descriptor.h"

namespace indigorill {

/// Holds a lock for each open call id, on a byte of a file that all processes of the sidecar share; the
/// byte's position is a hash of the id. The kernel grants a lock to one process at a time and releases all
/// locks of a process however it ends. So the processes need not know of one another, and nothing is left to
/// clean up: the ids of a process that was killed are free at once.
class CallIdLocks {
 public:
  /// `file` must have been opened by this process for this object alone, for reading and writing.
  explicit CallIdLocks(FileDescriptor file) : file_(std::move(file)) {}

  /// Returns false if another process holds the lock. If the kernel can't grant any locks, the result is
  /// true: the processes then know their own ids only, but no client is refused.
  bool try_lock(std::string_view call_id) const;
  void unlock(std::string_view call_id) const;

 private:
  FileDescriptor file_;
};

}  // namespace indigorill
