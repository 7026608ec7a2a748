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
    if (!registry.try_open(call_id, 0) || ::write(ready, "", 1) != 1) ::_exit(1);
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
    CHECK(first->try_open("a", 0));
    CHECK_FALSE(first->try_open("a", 0));
    CHECK_FALSE(second.try_open("a", 0));
    CHECK(second.try_open("b", 0));
    CHECK_FALSE(first->try_open("b", 0));
    second.close("a");  // not open there
    CHECK_FALSE(second.try_open("a", 0));
    first->close("a");
    CHECK(second.try_open("a", 0));
    second.close("a");
    second.close("b");
  }
}

TEST_CASE("the call ids of a process that was killed are free, those of the other one stay open") {
  const LockFile file;
  CallIdRegistry remaining;
  remaining.share(file.open());
  CHECK(remaining.try_open("own", 0));
  HoldingProcess killed(file, "held");
  HoldingProcess other(file, "other");
  CHECK_FALSE(remaining.try_open("held", 0));
  killed.kill();
  CHECK(remaining.try_open("held", 0));
  CHECK_FALSE(remaining.try_open("own", 0));
  CHECK_FALSE(remaining.try_open("other", 0));
}

TEST_CASE("without a usable lock file a process knows its own call ids and refuses no other") {
  for (const bool has_locks : {false, true}) {
    CallIdRegistry registry;
    if (has_locks) registry.share(CallIdLocks(FileDescriptor()));
    CHECK(registry.try_open("a", 0));
    CHECK_FALSE(registry.try_open("a", 0));
    registry.close("a");
    CHECK(registry.try_open("a", 0));
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

TEST_CASE("a call id that is closed later stays open until then, for both processes") {
  const LockFile file;
  CallIdRegistry own;
  CallIdRegistry other;
  own.share(file.open());
  other.share(file.open());
  CHECK(own.try_open("a", 100));
  own.close_at("a", 300);
  CHECK_FALSE(own.try_open("a", 299));
  CHECK_FALSE(other.try_open("a", 299));
  CHECK(own.try_open("b", 300));
  CHECK(other.try_open("a", 300));
}

TEST_CASE("the number of call ids that are closed later is limited, the earliest is closed first") {
  CallIdRegistry registry;
  constexpr int more_than_the_limit = 1001;
  for (int i = 0; i < more_than_the_limit; ++i) {
    CHECK(registry.try_open(std::to_string(i), 0));
    registry.close_at(std::to_string(i), 1000 + i);
  }
  CHECK(registry.try_open("0", 0));
  CHECK_FALSE(registry.try_open("1", 0));
}

// Guards against an id of a class that must not run twice that comes again while an endpoint still runs it
// for a client that has left.
TEST_CASE("a call id stays open until its deadline if its client leaves while an endpoint may run it") {
  constexpr int budget_ms = 1000;
  enum class Ending { client_leaves, answered_after_client_left, not_sent };
  for (const bool cancels : {false, true})
    for (const Ending ending :
         {Ending::client_leaves, Ending::answered_after_client_left, Ending::not_sent}) {
      CAPTURE(cancels);
      CAPTURE(static_cast<int>(ending));
      SidecarHarness sidecar(customer_config(true, cancels, RetrySafety::non_idempotent), {5000, 2000, 3000});
      FakeServer endpoint(sidecar.loop, {"silent", served_response});
      const StalledListener stalled;
      const bool is_sent = ending != Ending::not_sent;
      sidecar.update_endpoints(address_text(is_sent ? endpoint.address : stalled.address));
      const std::string request_text = rpc_request_text("read", budget_ms);
      TestConnection& leaving = sidecar.connect_client();
      const double sent_at_ms = sidecar.loop.now();
      leaving.send(request_text);
      REQUIRE(run_until(sidecar.loop, [&] {
        return is_sent ? endpoint.request_targets.size() == 1 : sidecar.dispatcher.in_flight() == 1;
      }));
      leaving.close();
      REQUIRE(run_until(sidecar.loop, [&] { return sidecar.counters.rpcs_abandoned == 1; }));
      if (ending == Ending::answered_after_client_left && !cancels)
        endpoint.connections[0]->send(served_response);
      REQUIRE(run_until(sidecar.loop, [&] {
        return sidecar.dispatcher.in_flight() == 0 || ending == Ending::client_leaves;
      }));
      if (!is_sent) {
        // The request was never sent: nothing stands in the way of its id.
        endpoint.responses = {served_response};
        sidecar.update_endpoints(address_text(endpoint.address));
        CHECK(sidecar.status_of_request(sidecar.connect_client(), request_text) == 200);
        continue;
      }
      CHECK(sidecar.status_of_request(sidecar.connect_client(), request_text) == 409);
      CHECK(endpoint.request_targets.size() == 1);
      run_for(sidecar.loop, sent_at_ms + budget_ms + 20 - sidecar.loop.now());
      CHECK(sidecar.status_of_request(sidecar.connect_client(), request_text) != 409);
    }
}

}  // namespace host
