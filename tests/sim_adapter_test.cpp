#include <doctest/doctest.h>

#include <sstream>

#include "config/json_fields.h"
#include "sim_adapter/sim_protocol.h"

namespace {

const std::string batch_start = R"({"SYNC":{"simTime":1000000}})"
                                "\n";
const std::string with_instance =
    batch_start + R"({"BEGIN":{"i":3,"seed":7,"settings":{"new":[1],"round":1000,"bounds":{"maxPicks":2},)"
                  R"("methods":[{"name":"read","effect":"retryable","latencyTarget":100000}]}}})"
                  "\n"
                  R"({"DIRECTORY":{"rosterId":0,"members":[{"state":"active","endpoint":"a:1"}]}})"
                  "\n"
                  R"({"BACKENDS_CHANGED":{"i":3,"rosterId":0,"scope":"restored","serial":1}})"
                  "\n";
const std::string incoming_rpc = R"({"INCOMING":{"i":3,"ticket":"t1","cls":"read","expires":1300000}})"
                                 "\n";

}  // namespace

TEST_CASE("malformed input is rejected with a one-line message and no output for its batch") {
  struct {
    std::string input;
    std::string message;
  } cases[] = {
      {"{", "line is not JSON"},
      {"[]", "line is not an object with one key"},
      {R"({"NEWS":{}})", "unknown message \"NEWS\""},
      {R"({"GO":{}})", "GO: received outside a batch"},
      {R"({"SYNC":7})", "SYNC: is not an object"},
      {R"({"SYNC":{}})", "SYNC: field simTime is missing"},
      {R"({"SYNC":{"simTime":"x"}})", "SYNC: field simTime is not a whole number of 0 or more"},
      {batch_start + batch_start, "SYNC: received within a batch"},
      {batch_start, "GO: is missing at the end of the input"},
      {batch_start + R"({"TIMER":{"i":3,"token":1}})", "TIMER: unknown instance 3"},
      {batch_start + R"({"KILLED":{"i":99999999999}})", "KILLED: field i is out of range"},
      {batch_start + R"({"BEGIN":{"i":3,"seed":7,"settings":{}}})", "BEGIN.settings: lists no methods"},
      {batch_start + R"({"BEGIN":{"i":3,"seed":7,"settings":{"methods":[{"name":"r","effect":"odd"}]}}})",
       "BEGIN.settings.methods: field effect has the unknown value \"odd\""},
      {batch_start + R"({"BEGIN":{"i":3,"seed":7,"settings":{"methods":7}}})",
       "BEGIN.settings: field methods is not a list"},
      {batch_start + R"({"DIRECTORY":{"rosterId":0,"members":[{"state":"active"}]}})",
       "DIRECTORY.members: field endpoint is missing"},
      {with_instance + R"({"BACKENDS_CHANGED":{"i":3,"rosterId":9,"scope":"update"}})",
       "BACKENDS_CHANGED: unknown list 9"},
      {with_instance + R"({"INCOMING":{"i":3,"ticket":5,"cls":"read","expires":1}})",
       "INCOMING: field ticket is not a string"},
      {with_instance +
           R"({"OUTCOME":{"i":3,"ticket":"t","try":0,"endpoint":"a:1","result":"FINE","elapsed":1}})",
       "OUTCOME: field result has the unknown value \"FINE\""},
      {with_instance +
           R"({"OUTCOME":{"i":3,"ticket":"t","try":0,"endpoint":"a:1","result":"BAD","elapsed":1,"finished":1}})",
       "OUTCOME: field finished is not true or false"},
      {with_instance + R"({"STATUS_BACK":{"i":3,"endpoint":"a:1","result":"GOOD"}})",
       "STATUS_BACK: field elapsed is missing"},
  };
  for (const auto& expected_case : cases) {
    CAPTURE(expected_case.input);
    std::istringstream in(expected_case.input);
    std::ostringstream out;
    CHECK_THROWS_WITH_AS(indigorill::run_sim_adapter(in, out), expected_case.message.c_str(),
                         indigorill::ParseError);
    CHECK(out.str().empty());
  }
}

TEST_CASE("events are decoded into load balancer calls and the decisions are encoded") {
  const std::string go = "{\"GO\":{}}\n";
  struct {
    std::string input;
    std::string expected;
    std::string unexpected;
  } cases[] = {
      {"", "", "OK"},
      {batch_start + go, "{\"OK\":{}}", "WAKE_ME"},
      {with_instance + incoming_rpc + go, R"({"SEND":{"i":3,"ticket":"t1","endpoint":"a:1","cap":100000}})",
       "SHED"},
      {with_instance + R"({"KILLED":{"i":3}})" + "\n" + go, "{\"OK\":{}}", "WAKE_ME"},
      {with_instance + incoming_rpc + R"({"DROPPED":{"i":3,"ticket":"t1"}})" + "\n" + go, "WAKE_ME", "SEND"},
      {with_instance + R"({"DIRECTORY":{"rosterId":0,"members":[{"state":"leaving","endpoint":"a:1"}]}})" +
           "\n" + R"({"BACKENDS_CHANGED":{"i":3,"rosterId":0,"scope":"update","serial":2}})" + "\n" +
           incoming_rpc + go,
       R"({"SHED":{"i":3,"ticket":"t1"}})", "SEND"},
  };
  for (const auto& expected_case : cases) {
    CAPTURE(expected_case.input);
    std::istringstream in(expected_case.input);
    std::ostringstream out;
    indigorill::run_sim_adapter(in, out);
    CHECK(out.str().find(expected_case.expected) != std::string::npos);
    CHECK(out.str().find(expected_case.unexpected) == std::string::npos);
  }
}
