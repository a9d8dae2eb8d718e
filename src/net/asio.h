#ifndef COWSLIPMAST_SRC_NET_ASIO_H_
#define COWSLIPMAST_SRC_NET_ASIO_H_

// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cowslipmast {

namespace asio = boost::asio;

}  // namespace cowslipmast

#endif  // COWSLIPMAST_SRC_NET_ASIO_H_
