#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <string_view>

namespace sycamore::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Beast's views of text as the standard's.
inline std::string_view view(boost::beast::string_view text)
{
  return { text.data(), text.size() };
}

} // namespace sycamore::entry
