#include "hot_restart/call_id_locks.h"

#include <fcntl.h>

#include <cerrno>

#include "load_balancer_state/hashing.h"

namespace indigorill {
namespace {

struct flock lock_request(std::string_view call_id, short type) {
  constexpr int sign_and_carry_bits = 2;  // offset plus length must not overflow
  struct flock request {};
  request.l_type = type;
  request.l_whence = SEEK_SET;
  request.l_start = static_cast<off_t>(splitmix64_finalize(fnv1a_hash(call_id)) >> sign_and_carry_bits);
  request.l_len = 1;
  return request;
}

}  // namespace

bool CallIdLocks::try_lock(std::string_view call_id) const {
  struct flock request = lock_request(call_id, F_WRLCK);
  return ::fcntl(file_.get(), F_OFD_SETLK, &request) == 0 || (errno != EAGAIN && errno != EACCES);
}

void CallIdLocks::unlock(std::string_view call_id) const {
  struct flock request = lock_request(call_id, F_UNLCK);
  ::fcntl(file_.get(), F_OFD_SETLK, &request);
}

}  // namespace indigorill
