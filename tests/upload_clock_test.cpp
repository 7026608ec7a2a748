// The lower bound of the time at which a client wrote the last byte of a long request.
#include "proxy/upload_clock.h"

#include <doctest/doctest.h>

namespace indigorill {
namespace {

constexpr std::uint64_t buffer_bytes = UploadClock::max_client_buffer_bytes;

}  // namespace

TEST_CASE("upload clock: what is never drained may have been written at the start") {
  UploadClock clock;
  clock.start(1000);
  clock.on_bytes_read(buffer_bytes / 2, 1500, 100000);
  clock.on_bytes_read(buffer_bytes / 2, 2000, 100000);
  clock.observe(2500, {.unread_bytes = 100000, .remaining_body = buffer_bytes});
  CHECK(clock.last_byte_not_before_ms() == 1000);
}

TEST_CASE("upload clock: the byte that ends a wait for the client was written when it came") {
  UploadClock clock;
  clock.start(1000);
  clock.on_drained();
  clock.observe(1800, {.unread_bytes = 0});
  CHECK(clock.last_byte_not_before_ms() == 1800);
  clock.on_bytes_read(10, 2300, 0);
  CHECK(clock.last_byte_not_before_ms() == 2300);
  clock.on_bytes_read(10, 2900, 0);
  CHECK(clock.last_byte_not_before_ms() == 2300);
}

TEST_CASE("upload clock: a stated length beyond what the kernels hold is not written yet") {
  UploadClock clock;
  clock.start(1000);
  clock.observe(2000, {.unread_bytes = 5000, .remaining_body = buffer_bytes + 5001});
  CHECK(clock.last_byte_not_before_ms() == 2000);
  clock.observe(3000, {.unread_bytes = 5000, .remaining_body = buffer_bytes + 5000});
  CHECK(clock.last_byte_not_before_ms() == 2000);
}

TEST_CASE("upload clock: more bytes than the kernels held at a time show that some were written after it") {
  UploadClock clock;
  clock.start(1000);
  clock.on_bytes_read(buffer_bytes + 1, 2000, 3000);
  CHECK(clock.last_byte_not_before_ms() == 1000);
  clock.on_bytes_read(buffer_bytes + 3000, 3000, 0);
  CHECK(clock.last_byte_not_before_ms() == 1000);
  clock.on_bytes_read(1, 3500, 0);
  CHECK(clock.last_byte_not_before_ms() == 2000);
}

}  // namespace indigorill
