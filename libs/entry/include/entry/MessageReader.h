#pragma once

#include <entry/MessageParser.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore::entry {

// State of a message after more bytes were fed to a MessageReader.
enum class ReadState
{
  NeedMore,
  Done,
  Failed
};

// Assembles complete HTTP/1.1 messages from the bytes of a connection. Bytes after a message stay
// in the buffer. One limit holds for the start line, the header fields and those of the trailer
// together, in whatever pieces they arrive.
template<typename Message>
class MessageReader
{
public:
  // Prepares for the next message. The limits are in bytes. `skipBody` is for answers without a
  // body, such as those to HEAD.
  void start(std::uint32_t headerLimit, std::uint64_t bodyLimit, bool skipBody = false)
  {
    parser_.emplace();
    headerLimit_ = headerLimit;
    headerBytes_ = 0;
    parser_->header_limit(headerLimit);
    parser_->body_limit(bodyLimit);
    if (skipBody) {
      parser_->skip(true);
    }
    error_ = {};
  }

  // Parses the bytes of the message and removes them from the buffer. Fails if more bytes than the
  // header limit can't be parsed yet, such as those of an endless line between two chunks.
  ReadState feed(std::string& buffer)
  {
    std::size_t parsed = 0;
    const ReadState state = parse(buffer, parsed);
    buffer.erase(0, parsed);
    return state;
  }

  // Ends the message because the peer closed the connection in order, which completes a message
  // without a length.
  ReadState finish()
  {
    if (!parser_->got_some()) {
      return ReadState::Failed;
    }
    if (!parser_->is_done()) {
      parser_->put_eof(error_);
    }
    return !error_ && parser_->is_done() ? ReadState::Done : ReadState::Failed;
  }

  // Drops the message. Nothing is fed until the next start.
  void clear() { parser_.reset(); }

  bool headerDone() const { return parser_->is_header_done(); }
  // Returns whether any byte of the message has been read.
  bool begun() const { return parser_->got_some(); }
  const Message& message() const { return parser_->message(); }
  Message take() { return parser_->take(); }
  const error_code& error() const { return error_; }

private:
  ReadState parse(std::string_view bytes, std::size_t& parsed)
  {
    while (!parser_->is_done() && parsed < bytes.size()) {
      const bool isHeader = !parser_->is_header_done();
      const std::string_view rest = bytes.substr(parsed);
      parsed += isHeader ? putHeader(rest) : putBody(rest);
      const std::size_t unparsed = bytes.size() - parsed;
      const std::size_t counted = isHeader ? headerBytes_ + unparsed : unparsed;
      const bool isIncomplete = error_ == http::error::need_more;
      if (isIncomplete && counted > headerLimit_) {
        error_ = http::error::header_limit;
      } else if (isIncomplete) {
        error_ = {};
        return ReadState::NeedMore;
      }
      if (error_) {
        return ReadState::Failed;
      }
    }
    return parser_->is_done() ? ReadState::Done : ReadState::NeedMore;
  }

  // Parses until the end of the header at most, so that its bytes can be counted.
  std::size_t putHeader(std::string_view bytes)
  {
    parser_->eager(false);
    const std::size_t taken = put(bytes);
    headerBytes_ += taken;
    const std::size_t arrived = headerBytes_ + bytes.size() - taken;
    if (error_ == http::error::header_limit && arrived < headerLimit_) {
      // The parser's buffer for a field in several lines is smaller than the limit. Recipients may
      // refuse such fields (RFC 9112, 5.2).
      error_ = http::error::bad_obs_fold;
    }
    if (!error_ && headerBytes_ > headerLimit_) {
      error_ = http::error::header_limit;
    }
    refuseContinuedLines(bytes.substr(0, taken));
    // The last chunk is parsed by itself, so that the lines of its trailer can be checked.
    parser_->eager(!parser_->chunked());
    parser_->setTrailerLimit(headerLimit_ - std::min(headerBytes_, headerLimit_));
    return taken;
  }

  // Parses bytes of the body and the trailer.
  std::size_t putBody(std::string_view bytes)
  {
    const std::size_t taken = put(bytes);
    if (parser_->is_done() && parser_->chunked()) {
      refuseContinuedLines(bytes.substr(0, taken));
    }
    return taken;
  }

  // Beast joins a line that begins with a blank or a tab to the one before. Recipients may refuse
  // it (RFC 9112, 5.2), and others take it for a field of its own or leave it out.
  void refuseContinuedLines(std::string_view lines)
  {
    const bool isContinued =
      lines.find("\n ") != std::string_view::npos || lines.find("\n\t") != std::string_view::npos;
    const bool isRefused = error_ && error_ != http::error::need_more;
    if (isContinued && !isRefused) {
      error_ = http::error::bad_obs_fold;
    }
  }

  std::size_t put(std::string_view bytes)
  {
    return parser_->put(asio::buffer(bytes.data(), bytes.size()), error_);
  }

  std::optional<MessageParser<Message>> parser_;
  error_code error_;
  std::size_t headerLimit_ = 0;
  // Bytes of the start line and of the header fields that have been parsed.
  std::size_t headerBytes_ = 0;
};

using RequestReader = MessageReader<Request>;
using AnswerReader = MessageReader<ServerAnswer>;

} // namespace sycamore::entry
