#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/net/http_client.h"
#include "src/net/http_server.h"

namespace cowslipmast {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);

asio::awaitable<HttpResponse> Echo(HttpRequest request) {
  co_return HttpResponse{.status = 200,
                         .headers = {{"X-Method", request.method}},
                         .body = request.path + "|" + request.body};
}

// A server and a client on one event loop, which runs until a call has ended.
struct Fixture {
  asio::io_context io;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Make(io, HttpClientLimits{});
  NetError reason;
  std::chrono::steady_clock::time_point write_before =
      std::chrono::steady_clock::time_point::max();

  explicit Fixture(const HttpServerLimits& limits, HttpHandler handler) {
    server = HttpServer::Make(io, {"127.0.0.1", 0}, limits, std::move(handler),
                              reason);
  }

  std::optional<HttpResponse> Call(const HttpRequest& request,
                                   Duration timeout = kCallTimeout) {
    std::optional<HttpResponse> response;
    bool done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const Endpoint endpoint{"127.0.0.1", server->port()};
          response = co_await client->Call(endpoint, request, timeout, reason,
                                           write_before);
          done = true;
        },
        asio::detached);
    io.restart();
    while (!done)
      io.run_one();
    return response;
  }

  // Calls one instance of a server that tells its instance at "/instance".
  std::optional<HttpResponse> CallInstance(ServerInstance instance) {
    std::optional<HttpResponse> response;
    bool done = false;
    InstanceQuery query;
    query.request.path = "/instance";
    query.instance_of =
        [](const HttpResponse& answer) -> std::optional<ServerInstance> {
      return std::stoll(answer.body);
    };
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          const Endpoint endpoint{"127.0.0.1", server->port()};
          HttpRequest request;
          request.path = "/command";
          response = co_await client->CallInstance(
              endpoint, instance, query, request, kCallTimeout, reason);
          done = true;
        },
        asio::detached);
    io.restart();
    while (!done)
      io.run_one();
    return response;
  }

  // Sends raw bytes that the client never sends and returns the response.
  std::string SendRaw(const std::string& bytes) {
    std::string answer;
    bool done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          asio::ip::tcp::socket socket(io);
          const asio::ip::tcp::endpoint endpoint(
              asio::ip::address_v4::loopback(), server->port());
          co_await socket.async_connect(endpoint, asio::use_awaitable);
          co_await asio::async_write(socket, asio::buffer(bytes),
                                     asio::use_awaitable);
          boost::system::error_code error;
          co_await asio::async_read(
              socket, asio::dynamic_buffer(answer),
              asio::redirect_error(asio::use_awaitable, error));
          done = true;
        },
        asio::detached);
    io.restart();
    while (!done)
      io.run_one();
    return answer;
  }
};

TEST_CASE("a call to one instance of a server", "[net]") {
  // Guards against a command that reaches the next instance at the address.
  std::vector<std::string> paths;
  ServerInstance instance = 7;
  const auto handler =
      [&](HttpRequest request) -> asio::awaitable<HttpResponse> {
    paths.push_back(request.path);
    HttpResponse response;
    response.body = std::to_string(instance);
    co_return response;
  };
  Fixture fixture(HttpServerLimits{}, handler);
  REQUIRE(fixture.server);
  REQUIRE(fixture.CallInstance(7));
  CHECK(paths == std::vector<std::string>{"/instance", "/command"});

  SECTION("asks for the instance once for each connection") {
    REQUIRE(fixture.CallInstance(7));
    CHECK(paths.size() == 3);
    CHECK(fixture.client->counters().connects == 1);
  }
  SECTION("is not sent to the next instance") {
    const uint16_t port = fixture.server->port();
    fixture.server.reset();
    instance = 8;
    fixture.server =
        HttpServer::Make(fixture.io, {"127.0.0.1", port}, HttpServerLimits{},
                         handler, fixture.reason);
    REQUIRE(fixture.server);
    paths.clear();
    // The first call may find the connection that the restart has closed.
    for (int i = 0; i < 2; ++i)
      CHECK_FALSE(fixture.CallInstance(7));
    CHECK(fixture.reason.kind == NetErrorKind::kOtherInstance);
    CHECK_FALSE(fixture.reason.request_sent);
    CHECK(std::count(paths.begin(), paths.end(), "/command") == 0);
    CHECK(fixture.CallInstance(8));
  }
  SECTION("is not sent to a server that does not tell its instance") {
    fixture.client->DropIdle({"127.0.0.1", fixture.server->port()});
    instance = kUntoldInstance;
    paths.clear();
    CHECK_FALSE(fixture.CallInstance(7));
    CHECK(fixture.reason.kind == NetErrorKind::kBadResponse);
    CHECK(paths == std::vector<std::string>{"/instance"});
  }
}

TEST_CASE("clients that do not read their answers", "[net]") {
  // Guards against large answers that together take more than the memory of the
  // VM. Each is more than the buffers of the system hold.
  constexpr size_t answer_bytes = 16 * 1024 * 1024;
  constexpr size_t answers_in_memory = 3;
  constexpr size_t crowd = 8;
  HttpServerLimits limits;
  limits.request_memory_bytes = answers_in_memory * answer_bytes;
  Fixture fixture(
      limits, [](HttpRequest request) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        response.body.assign(request.path == "/large" ? answer_bytes : 2, 'a');
        co_return response;
      });
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                         fixture.server->port());
  std::vector<asio::ip::tcp::socket> sockets;
  for (size_t i = 0; i < crowd; ++i) {
    asio::ip::tcp::socket& socket = sockets.emplace_back(fixture.io);
    socket.open(endpoint.protocol());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(endpoint);
    const std::string request = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(socket, asio::buffer(request));
  }
  while (fixture.server->counters().requests < crowd)
    fixture.io.run_one();
  fixture.io.run_for(std::chrono::milliseconds(200));

  SECTION("leave no more answers in memory than the server may hold") {
    CHECK(fixture.server->in_progress() <= answers_in_memory);
  }
  SECTION("leave the server to others") {
    const auto response =
        fixture.Call({.path = "/", .headers = {}, .body = {}});
    REQUIRE(response);
    CHECK(response->body == "aa");
  }
}

TEST_CASE("HTTP server and client on loopback", "[net]") {
  SECTION("a request gets a complete response") {
    Fixture fixture(HttpServerLimits{}, Echo);
    REQUIRE(fixture.server);
    auto response = fixture.Call(
        {.method = "POST", .path = "/a?b=c", .headers = {}, .body = "body"});
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == "/a?b=c|body");
    CHECK(FindHeader(response->headers, "x-method") == "POST");

    SECTION("and the next one reuses the connection") {
      REQUIRE(fixture.Call({.path = "/2", .headers = {}, .body = {}}));
      CHECK(fixture.client->counters().connects == 1);
      CHECK(fixture.client->counters().reuses == 1);
    }
    SECTION("and a connection that the server closed is not reused") {
      fixture.server->StopAccepting();
      fixture.io.restart();
      fixture.io.run();
      CHECK_FALSE(fixture.Call({.path = "/2", .headers = {}, .body = {}}));
      // A refused connection proves that the request did not run.
      CHECK(fixture.reason.kind == NetErrorKind::kConnectFailed);
      CHECK_FALSE(fixture.reason.request_sent);
    }
  }

  SECTION("a request whose response does not arrive in time may have run") {
    Fixture fixture(
        HttpServerLimits{}, [](HttpRequest) -> asio::awaitable<HttpResponse> {
          asio::steady_timer timer(co_await asio::this_coro::executor,
                                   std::chrono::seconds(30));
          co_await timer.async_wait(asio::use_awaitable);
          co_return HttpResponse{};
        });
    CHECK_FALSE(fixture.Call({.path = "/slow", .headers = {}, .body = {}},
                             std::chrono::milliseconds(50)));
    CHECK(fixture.reason.kind == NetErrorKind::kTimeout);
    CHECK(fixture.reason.request_sent);
  }

  SECTION("a request that cannot start in time is not sent") {
    // Guards against a slow connect that ends after the permission to use a
    // target has expired, when another process may already use the target.
    Fixture fixture(HttpServerLimits{}, Echo);
    fixture.write_before = std::chrono::steady_clock::now();
    CHECK_FALSE(fixture.Call({.path = "/", .headers = {}, .body = {}}));
    CHECK(fixture.reason.kind == NetErrorKind::kTooLate);
    CHECK_FALSE(fixture.reason.request_sent);
    CHECK(fixture.server->counters().requests == 0);
  }

  SECTION("a bad request is rejected and counted") {
    HttpServerLimits limits;
    limits.body_bytes = 16;
    limits.header_bytes = 512;
    limits.read_timeout = std::chrono::milliseconds(100);
    Fixture fixture(limits, Echo);

    SECTION("when the body is too large") {
      auto response = fixture.Call({.method = "POST",
                                    .path = "/",
                                    .headers = {},
                                    .body = std::string(17, 'x')});
      REQUIRE(response);
      CHECK(response->status == 413);
      CHECK(fixture.server->counters().oversized_requests == 1);
    }
    SECTION("when it has both Content-Length and Transfer-Encoding") {
      // Conflicting framing would allow request smuggling.
      const std::string answer = fixture.SendRaw(
          "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
      CHECK(answer.substr(0, 12) == "HTTP/1.1 400");
      CHECK(fixture.server->counters().requests == 0);
    }
    SECTION("when the trailers behind its body are too long") {
      const std::string answer = fixture.SendRaw(
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\n{}\r\n0\r\nx: " +
          std::string(8000, 'v'));
      CHECK(answer.substr(0, 12) == "HTTP/1.1 413");
      CHECK(answer.find("not-run") != std::string::npos);
      CHECK(fixture.server->counters().requests == 0);
    }
    SECTION("when a chunk extension is too long") {
      const std::string answer = fixture.SendRaw(
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2;x=" +
          std::string(8000, 'v'));
      CHECK(answer.substr(0, 12) == "HTTP/1.1 413");
      CHECK(fixture.server->counters().oversized_requests == 1);
    }
    SECTION("but not when its trailers are short") {
      const std::string answer = fixture.SendRaw(
          "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
          "Transfer-Encoding: chunked\r\n\r\n"
          "2\r\n{}\r\n0\r\nx: v\r\n\r\n");
      CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
    }
    SECTION("when it is not HTTP") {
      const std::string answer = fixture.SendRaw("hello\r\n\r\n");
      CHECK(answer.substr(0, 12) == "HTTP/1.1 400");
      CHECK(fixture.server->counters().bad_requests == 1);
    }
    SECTION("when it is sent too slowly") {
      CHECK(fixture.SendRaw("GET / HTTP/1.1\r\nHost:").empty());
      CHECK(fixture.server->connections() == 0);
    }
  }

  SECTION("listening on an invalid address fails") {
    asio::io_context io;
    NetError reason;
    CHECK_FALSE(HttpServer::Make(io, {"nowhere", 1}, {}, Echo, reason));
    CHECK(reason.kind == NetErrorKind::kBadAddress);
  }
}

}  // namespace
}  // namespace cowslipmast
