#pragma once

#include <entry/Asio.h>

#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace sycamore::entry {

// Appends a received message's body to a string. Beast's parser calls its functions.
class ReceivedBodyReader
{
public:
  template<bool isRequest, class Fields>
  explicit ReceivedBodyReader(http::header<isRequest, Fields>& /*header*/, std::string& body)
    : body_(body)
  {
  }

  void init(const boost::optional<std::uint64_t>& /*length*/, error_code& error) { error = {}; }

  template<class ConstBufferSequence>
  std::size_t put(const ConstBufferSequence& buffers, error_code& error)
  {
    error = {};
    std::size_t count = 0;
    for (auto at = asio::buffer_sequence_begin(buffers); at != asio::buffer_sequence_end(buffers);
         ++at) {
      const asio::const_buffer buffer = *at;
      body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      count += buffer.size();
    }
    return count;
  }

  void finish(error_code& error) { error = {}; }

private:
  std::string& body_;
};

// Body of a received message, for Beast's parser. Takes memory only for the bytes that have
// arrived: Beast's own string body reserves the announced length at once, by which one header of a
// few bytes could exhaust the memory of the process.
struct ReceivedBody
{
  using value_type = std::string;
  using reader = ReceivedBodyReader;

  static std::uint64_t size(const value_type& body) { return body.size(); }
};

} // namespace sycamore::entry
