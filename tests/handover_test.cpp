// Two processes of one sidecar: what each makes of the other, and the files and locks between them.
#include "../src/handover/handover.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "../src/net/sidecar.h"
#include "../src/net/twin.h"
#include "host.h"

using namespace host;

namespace {

record of(double born, record::stage at, bool made_room = false) { return {at, born, 0, made_room}; }

constexpr auto starting = record::stage::starting, serving = record::stage::serving,
               leaving = record::stage::leaving;

struct folder {
  std::string path = "/tmp/indigorill-handover-XXXXXX";
  folder() { REQUIRE(::mkdtemp(path.data())); }
  ~folder() { std::filesystem::remove_all(path); }
};

}  // namespace

TEST_CASE("what an elder and a newcomer do, by what the other one says") {
  struct {
    const char* what;
    record own;
    std::optional<record> other;
    bool lives, accepts, hurries, has_room;
    double share;
  } table[] = {
      {"alone", of(1, serving), {}, false, true, false, true, 1},
      {"alone, not yet told to serve", of(1, starting), {}, false, false, false, true, 1},
      {"elder beside a newcomer that starts", of(1, serving), of(2, starting), true, true, false, true, 0.5},
      {"elder beside one whose record can't be read yet", of(1, serving), {}, true, true, false, true, 0.5},
      {"elder beside one that serves", of(1, serving), of(2, serving), true, false, true, true, 0.5},
      {"elder told to stop", of(1, leaving), of(2, serving), true, false, true, true, 0.5},
      {"elder told to stop too soon", of(1, leaving), of(2, starting), true, true, false, true, 0.5},
      {"elder whose newcomer died", of(1, serving), of(2, serving), false, true, false, true, 1},
      {"newcomer, no room yet", of(2, starting), of(1, serving), true, false, false, false, 0.1},
      {"newcomer, elder unread", of(2, starting), {}, true, false, false, false, 0.1},
      {"newcomer, room made", of(2, starting), of(1, serving, true), true, false, false, true, 0.5},
      {"newcomer that serves", of(2, serving), of(1, serving, true), true, true, false, true, 0.5},
      {"newcomer whose elder is gone", of(2, serving), {}, false, true, false, true, 1},
  };
  for (const auto& t : table) {
    CAPTURE(std::string(t.what));
    handover h(t.own.born);
    if (t.own.at != starting) h.serves();
    if (t.own.at == leaving) h.leaves();
    h.sees(t.other, t.lives);
    CHECK(h.accepts() == t.accepts);
    CHECK(h.hurries() == t.hurries);
    CHECK(h.has_room() == t.has_room);
    CHECK(h.share() == t.share);
  }
}

TEST_CASE("two processes never share out more than there is, and one of them always takes connections") {
  for (const auto a : {starting, serving, leaving})
    for (const auto b : {starting, serving, leaving})
      for (const bool room : {false, true}) {
        handover elder(1), newcomer(2);
        const auto set = [](handover& h, record::stage at) {
          if (at == serving) h.serves();
          if (at == leaving) h.leaves();
        };
        set(elder, a), set(newcomer, b);
        elder.made_room(room);
        elder.sees(newcomer.self(), true);
        newcomer.sees(elder.self(), true);
        CHECK(elder.share() + newcomer.share() <= 1);
        if (a != starting && b == serving) CHECK(elder.accepts() + newcomer.accepts() == 1);
        if (a != starting && b == starting) CHECK(elder.accepts());
      }
}

TEST_CASE("records and bans come back as written; cut anywhere or foreign they are nothing") {
  record r = of(1234.5, serving, true);
  r.bans = 7;
  const bans b{9, {"a", "b c\"", "\xc3\xa9"}, {{"d", 1234.5}}};
  CHECK(decode_record(encode(r)) == r);
  CHECK(decode_bans(encode(b)) == b);
  const std::string texts[] = {encode(r), encode(b)};
  for (const std::string& text : texts)
    for (std::size_t n = 0; n < text.size(); ++n) {
      CHECK_FALSE(decode_record(text.substr(0, n)));
      CHECK_FALSE(decode_bans(text.substr(0, n)));
    }
  CHECK_FALSE(decode_record(encode(b)));
  CHECK_FALSE(decode_bans(encode(r)));
  for (const char* foreign :
       {"", "[]", "{}",
        "{\"format\":\"indigorill-handover-0\",\"kind\":\"bans\",\"revision\":1,\"out\":[],\"back\":{}}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":\"x\",\"out\":[]}",
        "{\"format\":\"indigorill-handover-1\",\"kind\":\"bans\",\"revision\":1,\"out\":[3]}"})
    CHECK_FALSE(decode_bans(foreign));
}

namespace {

// A process's side of the folder; both turn in one loop, and locks are of open files, so that two in one
// process exclude each other as two processes do.
struct half {
  std::ostringstream log_text;
  logger lines{log_text, level::debug};
  std::unique_ptr<twin> is;
  std::vector<bans> told;
  half(loop& runs, const std::string& path) : is(std::make_unique<twin>(runs, lines, path, "n:0/x")) {
    is->begin([] {}, [this](const bans& b) { told.push_back(b); });
  }
};

}  // namespace

TEST_CASE("a ban made in one process is in force in both before the yes, and outlives either") {
  loop runs;
  folder here;
  half elder(runs, here.path);
  elder.is->serves();
  half newcomer(runs, here.path);
  REQUIRE(until(runs, [&] { return elder.is->is().elder() && newcomer.is->is().newcomer(); }));
  bool done = false;
  newcomer.is->change([](bans& b) { b.out.insert("a"); },
                      [&](bool yes) {
                        done = yes;
                        CHECK((!elder.told.empty() && elder.told.back().out.count("a")));
                        CHECK((!newcomer.told.empty() && newcomer.told.back().out.count("a")));
                      });
  REQUIRE(until(runs, [&] { return done; }));
  done = false;  // both asked at once
  bool other = false;
  elder.is->change([](bans& b) { b.out.insert("b"); }, [&](bool yes) { done = yes; });
  newcomer.is->change([](bans& b) { put_back(b, "a", 77); }, [&](bool yes) { other = yes; });
  REQUIRE(until(runs, [&] { return done && other; }));
  CHECK(elder.is->agreed().out == std::set<std::string, std::less<>>{"b"});
  CHECK(newcomer.is->agreed() == elder.is->agreed());
  elder.is.reset();
  REQUIRE(until(runs, [&] { return !newcomer.is->is().paired(); }));
  newcomer.is.reset();
  half next(runs, here.path);
  CHECK(next.is->agreed().out.count("b") == 1);
  CHECK(next.is->agreed().back.at("a") == 77);
  CHECK_FALSE(next.is->is().paired());
}

TEST_CASE("one that doesn't hear of a change in time makes it a no, and all is as it was") {
  loop runs, still;
  folder here;
  half elder(still, here.path);  // its loop stands still
  half newcomer(runs, here.path);
  REQUIRE(newcomer.is->is().paired());
  std::optional<bool> yes;
  newcomer.is->change([](bans& b) { b.out.insert("a"); }, [&](bool done) { yes = done; });
  REQUIRE(until(runs, [&] { return yes.has_value(); }));
  CHECK_FALSE(*yes);
  CHECK(newcomer.is->agreed().out.empty());
  still.round(30);
  CHECK(elder.is->agreed().out.empty());
}

TEST_CASE("without a folder, or beside two others, a process works alone and says so") {
  loop runs;
  folder here;
  half none(runs, ""), nowhere(runs, here.path + "/not/there");
  half one(runs, here.path), two(runs, here.path), three(runs, here.path);
  for (const half* h : {&none, &nowhere, &three}) {
    CHECK(h->log_text.str().find("works alone") != std::string::npos);
    CHECK_FALSE(h->is->is().paired());
    bool done = false;
    h->is->change([](bans& b) { b.out.insert("a"); }, [&](bool yes) { done = yes; });
    CHECK(done);
  }
  CHECK(two.is->is().paired());
}
