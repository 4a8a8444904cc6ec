#include <entry/MessageReader.h>

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace sycamore::entry;

namespace {

constexpr std::uint64_t kBodyLimit = 1024 * 1024;
constexpr std::array<std::size_t, 10> kSizes{ 0,     255,   4096,  16384, 65533,
                                              65534, 65535, 65536, 65537, 66000 };
constexpr std::array<std::uint32_t, 4> kLimits{ 16384, 65536, 66100, 131072 };
// Bytes fed at once; 0 stands for all.
constexpr std::array<std::size_t, 4> kPieces{ 0, 1, 8192, 16384 };

const std::string kNextRequest = "GET /next HTTP/1.1\r\nHost: n\r\n\r\n";
const std::string kNextAnswer = "HTTP/1.1 204 Next\r\n\r\n";

// A message with one element of a given size.
struct SizedMessage
{
  std::string text;
  // Bytes that count against the header limit.
  std::size_t counted = 0;
};

SizedMessage withHeader(const std::string& text)
{
  return { text, text.size() };
}

// A message whose body is one chunk, with this trailer. Empty lines don't count.
SizedMessage withTrailer(const std::string& header,
                         const std::string& extension,
                         const std::string& trailer)
{
  return { header + "3" + extension + "\r\nabc\r\n0\r\n" + trailer + "\r\n",
           header.size() + trailer.size() };
}

std::string field(const std::string& name, std::size_t size)
{
  return name + ": " + std::string(size, 'v') + "\r\n";
}

std::vector<SizedMessage> requestsOfSize(std::size_t size)
{
  const std::string start = "POST /x HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  return { withHeader(start + field("Cookie", size) + "\r\n"),
           withHeader(start + "n" + std::string(size, 'n') + ": v\r\n\r\n"),
           withHeader("GET /" + std::string(size, 't') + " HTTP/1.1\r\nHost: a\r\n\r\n"),
           withHeader("M" + std::string(size, 'M') + " /x HTTP/1.1\r\nHost: a\r\n\r\n"),
           withHeader(start + field("A", size / 2) + field("B", size - size / 2) + "\r\n"),
           withTrailer(chunked, "", field("T", size)),
           withTrailer(chunked, "", "n" + std::string(size, 'n') + ": v\r\n") };
}

std::vector<SizedMessage> answersOfSize(std::size_t size)
{
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string empty = start + "Content-Length: 0\r\n";
  return { withHeader(empty + field("Set-Cookie", size) + "\r\n"),
           withHeader(empty + "n" + std::string(size, 'n') + ": v\r\n\r\n"),
           withHeader("HTTP/1.1 200 " + std::string(size, 'r') + "\r\nContent-Length: 0\r\n\r\n"),
           withTrailer(chunked, "", field("T", size)) };
}

struct Reading
{
  ReadState state = ReadState::NeedMore;
  bool isHeaderLimit = false;
  // Whether the message behind was read too, and nothing more.
  bool isNextIntact = false;
};

// Feeds a message and the one behind it in pieces.
template<typename Reader>
Reading read(const std::string& text,
             const std::string& next,
             std::uint32_t limit,
             std::size_t size)
{
  Reader reader;
  reader.start(limit, kBodyLimit);
  std::string buffer;
  const std::string all = text + next;
  size = size == 0 ? all.size() : size;
  Reading reading;
  for (std::size_t at = 0; at < all.size(); at += size) {
    buffer.append(all, at, size);
    if (reading.state == ReadState::NeedMore) {
      reading.state = reader.feed(buffer);
      reading.isHeaderLimit = reader.error() == http::error::header_limit;
    }
    if (reading.state == ReadState::Failed) {
      return reading;
    }
  }
  if (reading.state == ReadState::Done) {
    reader.start(limit, kBodyLimit);
    reading.isNextIntact = reader.feed(buffer) == ReadState::Done && buffer.empty();
  }
  return reading;
}

template<typename Reader>
void checkReading(const SizedMessage& message, const std::string& next)
{
  for (const std::uint32_t limit : kLimits) {
    for (const std::size_t piece : kPieces) {
      const Reading reading = read<Reader>(message.text, next, limit, piece);
      CAPTURE(message.text.substr(0, 20));
      CAPTURE(message.counted);
      CAPTURE(limit);
      CAPTURE(piece);
      if (message.counted <= limit) {
        CHECK(reading.state == ReadState::Done);
        CHECK(reading.isNextIntact);
      } else {
        CHECK(reading.state == ReadState::Failed);
        CHECK(reading.isHeaderLimit);
      }
    }
  }
}

} // namespace

// Guards against an element of a message that ends the process or is refused within the limit.
TEST_CASE("an element of any size is read within the header limit and refused beyond it")
{
  for (const std::size_t size : kSizes) {
    for (const SizedMessage& request : requestsOfSize(size)) {
      checkReading<RequestReader>(request, kNextRequest);
    }
    for (const SizedMessage& answer : answersOfSize(size)) {
      checkReading<AnswerReader>(answer, kNextAnswer);
    }
  }
}

// Guards against a limit that isn't exact, and one that a header of many pieces passes.
TEST_CASE("the header limit holds to the byte, also for fields that arrive one by one")
{
  constexpr std::uint32_t kLimit = 4096;
  const std::string start = "GET /x HTTP/1.1\r\nHost: a\r\n";
  for (const bool isBeyond : { false, true }) {
    std::string text = start;
    std::vector<std::string> pieces{ start };
    while (text.size() + 100 < kLimit - 100) {
      pieces.push_back(field("A", 95));
      text += pieces.back();
    }
    const std::size_t left = kLimit - text.size() - 2 - field("B", 0).size();
    pieces.push_back(field("B", left + (isBeyond ? 1 : 0)));
    pieces.emplace_back("\r\n");
    RequestReader reader;
    reader.start(kLimit, kBodyLimit);
    std::string buffer;
    ReadState state = ReadState::NeedMore;
    for (const std::string& piece : pieces) {
      buffer += piece;
      if (state == ReadState::NeedMore) {
        state = reader.feed(buffer);
      }
    }
    CHECK(state == (isBeyond ? ReadState::Failed : ReadState::Done));
  }
}

// Guards against an answer "too large" for a field that is refused because of its lines.
TEST_CASE("a field of many lines beyond the parser's buffer is a malformed request")
{
  std::string text = "GET /x HTTP/1.1\r\nHost: a\r\nFolded: x";
  for (int i = 0; i < 70; ++i) {
    text += "\r\n " + std::string(998, 'y');
  }
  RequestReader reader;
  reader.start(131072, kBodyLimit);
  std::string buffer = text + "\r\n\r\n";
  CHECK(reader.feed(buffer) == ReadState::Failed);
  CHECK(reader.error() == http::error::bad_obs_fold);
}

// Guards against a request at the header limit that is refused for the lines of its chunks.
TEST_CASE("the lines between chunks don't count against the header limit")
{
  std::string text = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto limit = static_cast<std::uint32_t>(text.size());
  for (int i = 0; i < 200; ++i) {
    text += "3;extension=1\r\nabc\r\n";
  }
  text += "0\r\n\r\n";
  for (const std::size_t piece : { std::size_t(1), std::size_t(7), text.size() }) {
    const Reading reading = read<RequestReader>(text, kNextRequest, limit, piece);
    CHECK(reading.state == ReadState::Done);
  }
}
