#include "Output.h"

#include "CtlError.h"
#include "Flags.h"

#include <absl/flags/flag.h>

#include <algorithm>

namespace sycamore::ctl {

namespace {

using nlohmann::json;

std::string dump(const json& value, int indent)
{
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

// Replaces control characters. In a server's text they could move the cursor and forge lines on the
// operator's terminal.
std::string printable(std::string text)
{
  const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
  std::replace_if(text.begin(), text.end(), isControl, '?');
  return text;
}

std::string cellOf(const json& value)
{
  if (value.is_string()) {
    return printable(value.get<std::string>());
  }
  if (!value.is_array()) {
    return value.is_boolean() ? (value.get<bool>() ? "yes" : "no") : dump(value, -1);
  }
  std::string cell;
  for (const json& element : value) {
    cell += (cell.empty() ? "" : " ") + cellOf(element);
  }
  return cell;
}

// Returns the text of a table cell; a missing or empty value becomes "-".
std::string cellOf(const json& row, const std::string& column)
{
  const auto found = row.find(column);
  const std::string cell = found == row.end() ? "" : cellOf(*found);
  return cell.empty() ? "-" : cell;
}

std::size_t widthOf(const json& rows, const std::string& column)
{
  std::size_t width = column.size();
  for (const json& row : rows) {
    width = std::max(width, cellOf(row, column).size());
  }
  return width;
}

std::string padded(const std::string& text, std::size_t width)
{
  return text + std::string(width > text.size() ? width - text.size() : 0, ' ');
}

std::string withoutTrailingSpace(std::string line)
{
  line.erase(line.find_last_not_of(' ') + 1);
  return line;
}

} // namespace

Output::Output(std::ostream& out)
  : out_(out)
  , json_(absl::GetFlag(FLAGS_output) == "json")
{
  if (!json_ && absl::GetFlag(FLAGS_output) != "table") {
    throw CtlError(ExitStatus::Usage, "--output must be table or json");
  }
}

void Output::printTable(const json& reply,
                        const json& rows,
                        const std::vector<std::string>& columns)
{
  if (json_) {
    out_ << dump(reply, 2) << '\n';
    return;
  }
  std::string header;
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    widths.push_back(widthOf(rows, column) + 2);
    header += padded(column, widths.back());
  }
  out_ << withoutTrailingSpace(header) << '\n';
  for (const json& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < columns.size(); ++i) {
      line += padded(cellOf(row, columns[i]), widths[i]);
    }
    out_ << withoutTrailingSpace(line) << '\n';
  }
}

void Output::printFields(const json& reply, const std::vector<std::string>& names)
{
  if (json_) {
    out_ << dump(reply, 2) << '\n';
    return;
  }
  std::size_t width = 0;
  for (const std::string& name : names) {
    width = std::max(width, name.size() + 2);
  }
  for (const std::string& name : names) {
    out_ << padded(name, width) << cellOf(reply, name) << '\n';
  }
}

void Output::printText(const std::string& text)
{
  if (!json_) {
    out_ << text << '\n';
  }
}

void Output::printEvent(const json& event, const std::vector<std::string>& names)
{
  if (json_) {
    out_ << dump(event, -1) << std::endl;
    return;
  }
  std::string line;
  for (const std::string& name : names) {
    line += (line.empty() ? "" : "  ") + cellOf(event, name);
  }
  out_ << line << std::endl;
}

} // namespace sycamore::ctl
