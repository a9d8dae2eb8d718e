#ifndef COWSLIPMAST_HTTP_H_
#define COWSLIPMAST_HTTP_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cowslipmast {

struct HttpHeader {
  std::string name;
  std::string value;
};

/** A whole HTTP/1.1 request; headers that frame the body are left out. */
struct HttpRequest {
  std::string method = "GET";
  std::string path;  // with the query
  std::vector<HttpHeader> headers;
  std::string body;
};

/** A whole HTTP/1.1 answer; headers that frame the body are left out. */
struct HttpResponse {
  uint16_t status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  bool closes = false;  // the sender closed the connection after it
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_HTTP_H_
