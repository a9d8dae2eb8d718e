#include "src/daemon/caller_headers.h"

#include <catch2/catch.hpp>

#include <string>

#include "src/daemon/caller_reply.h"
#include "src/net/http_message.h"

namespace cowslipmast {
namespace {

TEST_CASE("a caller's headers", "[daemon]") {
  BadHeader bad;

  SECTION("have safe defaults") {
    const auto headers = ParseCallerHeaders({}, bad);
    REQUIRE(headers);
    CHECK_FALSE(headers->idempotent);
    CHECK_FALSE(headers->resend);
  }
  SECTION("are read regardless of the case of their names") {
    const auto headers =
        ParseCallerHeaders({{"cowslipmast-idempotent", "true"},
                            {"COWSLIPMAST-DEADLINE-MS", "60000"},
                            {"Cowslipmast-Request-Id", std::string(128, '~')}},
                           bad);
    REQUIRE(headers);
    CHECK(headers->idempotent);
    CHECK(headers->deadline == kMaxDeadline);
  }
  SECTION("are rejected with the name of the invalid one") {
    // Guards against a typing error that silently makes a request idempotent
    // or removes its deadline.
    const HttpHeader header =
        GENERATE(HttpHeader{"Cowslipmast-Idempotent", "True"},
                 HttpHeader{"Cowslipmast-Resend", ""},
                 HttpHeader{"Cowslipmast-Deadline-Ms", "60001"},
                 HttpHeader{"Cowslipmast-Deadline-Ms", "-1"},
                 HttpHeader{"Cowslipmast-Deadline-Ms", "99999999999999999999"},
                 HttpHeader{"Cowslipmast-Request-Id", ""},
                 HttpHeader{"Cowslipmast-Request-Id", "a b"},
                 HttpHeader{"Cowslipmast-Request-Id", "caf\xc3\xa9"},
                 HttpHeader{"Cowslipmast-Request-Id", std::string(129, 'x')});
    CHECK_FALSE(ParseCallerHeaders({header}, bad));
    CHECK(bad.header == header.name);
    CHECK(bad.found == header.value);
    const HttpResponse response = MakeBadHeaderResponse(bad);
    CHECK(response.status == 400);
    CHECK(FindHeader(response.headers, kOutcomeHeader) == "not-run");
  }
  SECTION("are rejected when one is repeated") {
    CHECK_FALSE(ParseCallerHeaders({{"Cowslipmast-Idempotent", "false"},
                                    {"Cowslipmast-Idempotent", "true"}},
                                   bad));
    CHECK(bad.header == "Cowslipmast-Idempotent");
  }
}

TEST_CASE("a response to a caller has exactly one outcome header", "[daemon]") {
  // Guards against a target that overrides the outcome of the entry process.
  RouterReply reply;
  reply.outcome = RequestOutcome::kAnswered;
  reply.response = {
      .status = 200, .headers = {{"Cowslipmast-Outcome", "x"}}, .body = {}};
  const HttpResponse response = MakeCallerResponse(reply, RequestId("a"));
  REQUIRE(response.headers.size() == 2);
  CHECK(FindHeader(response.headers, kOutcomeHeader) == "answered");
  CHECK(FindHeader(response.headers, kRequestIdHeader) == "a");
}

}  // namespace
}  // namespace cowslipmast
