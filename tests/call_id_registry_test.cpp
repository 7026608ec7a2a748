// Call ids that are open in one of two processes of a sidecar. Files that are opened separately stand for the
// processes, or real processes where one is killed.
#include "proxy/call_id_registry.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>

#include "support/parts.h"

namespace host {

namespace {

/// The file that the processes share.
struct LockFile {
  std::string path = "/tmp/indigorill-call-ids-XXXXXX";
  LockFile() { ::close(::mkstemp(path.data())); }
  ~LockFile() { ::unlink(path.c_str()); }
  LockFile(const LockFile&) = delete;
  LockFile& operator=(const LockFile&) = delete;

  CallIdLocks open() const { return CallIdLocks(FileDescriptor(::open(path.c_str(), O_RDWR | O_CLOEXEC))); }
};

/// A process that has an id open until it is killed.
class HoldingProcess {
 public:
  HoldingProcess(const LockFile& file, std::string_view call_id) {
    std::array<int, 2> ready{};
    REQUIRE(::pipe(ready.data()) == 0);
    pid_ = ::fork();
    if (pid_ == 0) hold(file, call_id, ready[1]);
    char byte = 0;
    REQUIRE(::read(ready[0], &byte, 1) == 1);
    ::close(ready[0]);
    ::close(ready[1]);
  }
  ~HoldingProcess() { kill(); }
  HoldingProcess(const HoldingProcess&) = delete;
  HoldingProcess& operator=(const HoldingProcess&) = delete;

  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  [[noreturn]] static void hold(const LockFile& file, std::string_view call_id, int ready) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    CallIdRegistry registry;
    registry.share(file.open());
    if (!registry.try_open(call_id) || ::write(ready, "", 1) != 1) ::_exit(1);
    for (;;) ::pause();
  }

  pid_t pid_ = -1;
};

}  // namespace

TEST_CASE("a call id that is open in one process can't be opened in the other") {
  const LockFile file;
  CallIdRegistry parent;
  CallIdRegistry child;
  parent.share(file.open());
  child.share(file.open());
  for (CallIdRegistry* const first : {&parent, &child}) {
    CallIdRegistry& second = first == &parent ? child : parent;
    CHECK(first->try_open("a"));
    CHECK_FALSE(first->try_open("a"));
    CHECK_FALSE(second.try_open("a"));
    CHECK(second.try_open("b"));
    CHECK_FALSE(first->try_open("b"));
    second.close("a");  // not open there
    CHECK_FALSE(second.try_open("a"));
    first->close("a");
    CHECK(second.try_open("a"));
    second.close("a");
    second.close("b");
  }
}

TEST_CASE("the call ids of a process that was killed are free, those of the other one stay open") {
  const LockFile file;
  CallIdRegistry remaining;
  remaining.share(file.open());
  CHECK(remaining.try_open("own"));
  HoldingProcess killed(file, "held");
  HoldingProcess other(file, "other");
  CHECK_FALSE(remaining.try_open("held"));
  killed.kill();
  CHECK(remaining.try_open("held"));
  CHECK_FALSE(remaining.try_open("own"));
  CHECK_FALSE(remaining.try_open("other"));
}

TEST_CASE("without a usable lock file a process knows its own call ids and refuses no other") {
  for (const bool has_locks : {false, true}) {
    CallIdRegistry registry;
    if (has_locks) registry.share(CallIdLocks(FileDescriptor()));
    CHECK(registry.try_open("a"));
    CHECK_FALSE(registry.try_open("a"));
    registry.close("a");
    CHECK(registry.try_open("a"));
  }
}

// Guards against an id of a class that must not run twice that is served by the other process of an upgrade.
TEST_CASE("a request whose call id is open in the other process gets 409 and is not sent on") {
  const LockFile file;
  SidecarHarness first(customer_config(true, true, RetrySafety::non_idempotent), {5000, 2000, 3000});
  SidecarHarness second(customer_config(true, true, RetrySafety::non_idempotent), {5000, 2000, 3000});
  first.dispatcher.share_call_ids(file.open());
  second.dispatcher.share_call_ids(file.open());
  FakeServer endpoint(first.loop, {"silent", served_response});
  first.update_endpoints(address_text(endpoint.address));
  second.update_endpoints(address_text(endpoint.address));
  const std::string request_text = rpc_request_text("read", 3900);
  TestConnection& usual = first.connect_client();
  usual.send(request_text);
  REQUIRE(run_until(first.loop, [&] { return endpoint.request_targets.size() == 1; }));
  CHECK(second.status_of_request(second.connect_client(), request_text) == 409);
  endpoint.connections[0]->send(served_response);
  REQUIRE(run_until(first.loop, [&] { return usual.received.size() == 1; }));
  CHECK(usual.received[0].status == 200);
  CHECK(endpoint.request_targets.size() == 1);
}

}  // namespace host
