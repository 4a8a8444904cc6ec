#include <requests/RetryAfter.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace sycamore::requests {

namespace {

constexpr std::array<std::string_view, 12> kMonths{ "Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                                    "Jul", "Aug", "Sep", "Oct", "Nov", "Dec" };

// Delays with more digits are not sensible hints and would overflow a Duration.
constexpr std::size_t kMaxDigits = 9;

struct DateParts
{
  int day = 0;
  std::array<char, 4> month{};
  int year = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
};

std::optional<base::Duration> parseSeconds(std::string_view text)
{
  const auto digit = [](unsigned char c) { return std::isdigit(c) != 0; };
  if (text.empty() || !std::all_of(text.begin(), text.end(), digit)) {
    return std::nullopt;
  }
  const std::string digits(text.size() > kMaxDigits ? std::string(kMaxDigits, '9') : text);
  return std::chrono::seconds(std::stol(digits));
}

std::optional<WallTime> toWallTime(const DateParts& parts)
{
  const auto* const month = std::find(kMonths.begin(), kMonths.end(), parts.month.data());
  const bool timeValid = parts.hour >= 0 && parts.hour < 24 && parts.minute >= 0 &&
                         parts.minute < 60 && parts.second >= 0 && parts.second <= 60;
  if (month == kMonths.end() || !timeValid) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date(
    std::chrono::year(parts.year),
    std::chrono::month(static_cast<unsigned>(month - kMonths.begin()) + 1),
    std::chrono::day(static_cast<unsigned>(parts.day)));
  if (!date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(parts.hour) +
         std::chrono::minutes(parts.minute) + std::chrono::seconds(parts.second);
}

// Parses the preferred form of RFC 9110 (IMF-fixdate): Sun, 06 Nov 1994 08:49:37 GMT
std::optional<WallTime> parseImfFixdate(const std::string& text)
{
  DateParts fields;
  int end = 0;
  const int fieldCount = std::sscanf(text.c_str(),
                                     "%*3[A-Za-z], %2d %3[A-Za-z] %4d %2d:%2d:%2d GMT%n",
                                     &fields.day,
                                     fields.month.data(),
                                     &fields.year,
                                     &fields.hour,
                                     &fields.minute,
                                     &fields.second,
                                     &end);
  return fieldCount == 6 && end == static_cast<int>(text.size()) ? toWallTime(fields)
                                                                 : std::nullopt;
}

// Parses the obsolete RFC 850 form: Sunday, 06-Nov-94 08:49:37 GMT. A two-digit year that would be
// more than 50 years ahead is one of the previous century.
std::optional<WallTime> parseRfc850Date(const std::string& text, WallTime now)
{
  DateParts fields;
  int end = 0;
  const int fieldCount = std::sscanf(text.c_str(),
                                     "%*9[A-Za-z], %2d-%3[A-Za-z]-%2d %2d:%2d:%2d GMT%n",
                                     &fields.day,
                                     fields.month.data(),
                                     &fields.year,
                                     &fields.hour,
                                     &fields.minute,
                                     &fields.second,
                                     &end);
  if (fieldCount != 6 || end != static_cast<int>(text.size())) {
    return std::nullopt;
  }
  const std::chrono::year_month_day today(std::chrono::floor<std::chrono::days>(now));
  const int thisYear = static_cast<int>(today.year());
  fields.year += thisYear / 100 * 100;
  fields.year -= fields.year > thisYear + 50 ? 100 : 0;
  return toWallTime(fields);
}

// Parses the obsolete asctime() form: Sun Nov  6 08:49:37 1994
std::optional<WallTime> parseAsctimeDate(const std::string& text)
{
  DateParts fields;
  int end = 0;
  const int fieldCount = std::sscanf(text.c_str(),
                                     "%*3[A-Za-z] %3[A-Za-z] %2d %2d:%2d:%2d %4d%n",
                                     fields.month.data(),
                                     &fields.day,
                                     &fields.hour,
                                     &fields.minute,
                                     &fields.second,
                                     &fields.year,
                                     &end);
  return fieldCount == 6 && end == static_cast<int>(text.size()) ? toWallTime(fields)
                                                                 : std::nullopt;
}

} // namespace

std::optional<base::Duration> parseRetryAfter(std::string_view text, WallTime now)
{
  if (const auto seconds = parseSeconds(text)) {
    return seconds;
  }
  const std::string date(text);
  std::optional<WallTime> until = parseImfFixdate(date);
  if (!until) {
    until = parseRfc850Date(date, now);
  }
  if (!until) {
    until = parseAsctimeDate(date);
  }
  if (!until) {
    return std::nullopt;
  }
  // Calculated in milliseconds: a date far in the future would overflow nanoseconds.
  constexpr std::chrono::milliseconds kMaxDelay = std::chrono::seconds(999'999'999);
  return std::clamp(*until - now, std::chrono::milliseconds(0), kMaxDelay);
}

std::string formatRetryAfter(base::Duration delay)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace sycamore::requests
