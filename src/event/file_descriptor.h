/// \file
/// File descriptors with an owner, and the budget that bounds how many the process opens.
#pragma once

#include <cstddef>

namespace indigorill {

/// Owns one file descriptor and closes it on destruction. Movable, not copyable.
class FileDescriptor {
 public:
  /// Owns nothing.
  FileDescriptor() = default;

  /// Takes ownership of `fd`; a negative value, as a failed system call returns it, owns nothing.
  explicit FileDescriptor(int fd) : fd_(fd) {}

  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor();

  /// The descriptor, still owned by this object; -1 if there is none.
  int get() const { return fd_; }

  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

/// How many descriptors the process may hold and how many it holds. Code that opens a descriptor checks
/// `available()` first; `TcpStream` keeps the count.
struct FileDescriptorBudget {
  std::size_t limit;
  std::size_t open_count = 0;

  std::size_t available() const { return limit > open_count ? limit - open_count : 0; }
};

}  // namespace indigorill
