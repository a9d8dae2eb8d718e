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

/** Complete HTTP/1.1 request, without the headers for framing. */
struct HttpRequest {
  std::string method = "GET";
  std::string path;  // with the query
  std::vector<HttpHeader> headers;
  std::string body;
};

/** Complete HTTP/1.1 response, without the headers for framing. */
struct HttpResponse {
  uint16_t status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  bool closes_connection = false;  // the sender closes the connection after it
};

}  // namespace cowslipmast

#endif  // COWSLIPMAST_HTTP_H_
