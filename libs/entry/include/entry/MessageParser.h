#pragma once

#include <entry/Asio.h>
#include <entry/Request.h>
#include <entry/ServerAnswer.h>

#include <base/HeadCheck.h>
#include <base/HttpStatus.h>

#include <boost/optional.hpp>

#include <cstdint>
#include <limits>
#include <type_traits>
#include <utility>

namespace sycamore::entry {

// Fills a Request or a ServerAnswer with what Beast's parser finds. Takes memory only for bytes
// that have arrived, not for an announced length. Beast's own container throws for names and values
// of 64 KiB, which the limits may allow.
template<typename Message>
class MessageParser : public http::basic_parser<std::is_same_v<Message, Request>>
{
public:
  const Message& message() const { return message_; }
  Message take() { return std::move(message_); }

  // Sets the bytes that the fields of the trailer may have together. The parser's own limit counts
  // the header only.
  void setTrailerLimit(std::size_t bytes) { trailerBytesLeft_ = bytes; }

private:
  using TextView = boost::beast::string_view;

  void on_request_impl(http::verb /*method*/,
                       TextView method,
                       TextView target,
                       int /*version*/,
                       error_code& error) override
  {
    error = {};
    if constexpr (std::is_same_v<Message, Request>) {
      message_.method = toStringView(method);
      message_.target = toStringView(target);
    }
  }

  void on_response_impl(int status, TextView reason, int /*version*/, error_code& error) override
  {
    error = {};
    if constexpr (std::is_same_v<Message, ServerAnswer>) {
      if (!base::isAnswerStatus(status)) {
        error = http::error::bad_status;
        return;
      }
      message_.status = static_cast<unsigned>(status);
      message_.reason = toStringView(reason);
    }
  }

  void on_field_impl(http::field /*known*/,
                     TextView name,
                     TextView value,
                     error_code& error) override
  {
    error = {};
    if (this->is_header_done() && !tryTakeTrailerBytes(name.size() + value.size())) {
      error = http::error::header_limit;
      return;
    }
    if (!this->is_header_done()) {
      coding_.onField(toStringView(name), toStringView(value));
    }
    message_.fields.append(toStringView(name), toStringView(value));
  }

  // Beast accepts codings that it doesn't decode.
  void on_header_impl(error_code& error) override
  {
    error = {};
    if (coding_.fault() != base::HeadFault::None) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    if constexpr (std::is_same_v<Message, Request>) {
      message_.hasBody = this->chunked() || this->content_length().has_value();
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& error) override
  {
    error = {};
  }

  std::size_t on_body_impl(TextView bytes, error_code& error) override
  {
    error = {};
    message_.body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            TextView /*extensions*/,
                            error_code& error) override
  {
    error = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*left*/, TextView bytes, error_code& error) override
  {
    return on_body_impl(bytes, error);
  }

  void on_finish_impl(error_code& error) override
  {
    error = {};
    message_.isKeepAlive = this->keep_alive();
  }

  bool tryTakeTrailerBytes(std::size_t bytes)
  {
    // Colon, space and line end of a field.
    constexpr std::size_t kSeparators = 4;
    bytes += kSeparators;
    if (bytes > trailerBytesLeft_) {
      return false;
    }
    trailerBytesLeft_ -= bytes;
    return true;
  }

  Message message_;
  base::CodingCheck coding_;
  std::size_t trailerBytesLeft_ = std::numeric_limits<std::size_t>::max();
};

} // namespace sycamore::entry
