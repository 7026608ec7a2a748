#include "event/file_descriptor.h"

#include <unistd.h>

#include <utility>

namespace indigorill {

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) ::close(fd_);
}

}  // namespace indigorill
