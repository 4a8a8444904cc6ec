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

// Converts Beast's string view to the standard library's.
inline std::string_view toStringView(boost::beast::string_view text)
{
  return { text.data(), text.size() };
}

} // namespace sycamore::entry
