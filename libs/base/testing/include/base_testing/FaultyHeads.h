#pragma once

#include <string>
#include <vector>

namespace sycamore::base::testing {

// Returns the rests of messages, from some header line on, each of which has one fault in its head.
// Its body, as the sender means it, is "ok".
inline const std::vector<std::string>& faultyHeads()
{
  static const std::vector<std::string> rests{
    // Names of fields.
    "Content Length: 2\r\n\r\nok",
    "Content-Length : 2\r\n\r\nok",
    "X\tY: 1\r\nContent-Length: 2\r\n\r\nok",
    "X\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
    "X\x7f: 1\r\nContent-Length: 2\r\n\r\nok",
    "X\xc3\xa9: 1\r\nContent-Length: 2\r\n\r\nok",
    ": 1\r\nContent-Length: 2\r\n\r\nok",
    "no-colon\r\nContent-Length: 2\r\n\r\nok",
    // Continued lines.
    " Content-Length: 2\r\n\r\nok",
    "\tContent-Length: 2\r\n\r\nok",
    "X: 1\r\n continued\r\nContent-Length: 2\r\n\r\nok",
    "X: 1\r\n \r\nContent-Length: 2\r\n\r\nok",
    "X:\r\n\t1\r\nContent-Length: 2\r\n\r\nok",
    "Content-Length: 2\r\n ,2\r\n\r\nok",
    // Values and line ends.
    "X: a\x01\r\nContent-Length: 2\r\n\r\nok",
    "X: a\x7f\r\nContent-Length: 2\r\n\r\nok",
    "X: a\rb\r\nContent-Length: 2\r\n\r\nok",
    "X: a\nContent-Length: 2\r\n\r\nok",
    // Lengths.
    "Content-Length: 2x\r\n\r\nok",
    "Content-Length: -2\r\n\r\nok",
    "Content-Length: \r\n\r\nok",
    "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    // Codings.
    "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked;x=1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "Transfer-Encoding: gzip\r\n\r\nok",
    "Transfer-Encoding:\r\nContent-Length: 2\r\n\r\nok",
    "Transfer-Encoding: xchunked\r\nContent-Length: 2\r\n\r\nok",
    "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok",
    "Content-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nok",
    "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
  };
  return rests;
}

// Returns the rests of messages whose trailer has a fault.
inline const std::vector<std::string>& faultyTrailers()
{
  static const std::vector<std::string> rests{
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n continued\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\tcontinued\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n X: 1\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: a\x01\r\n\r\n",
  };
  return rests;
}

} // namespace sycamore::base::testing
