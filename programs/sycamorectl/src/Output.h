#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Prints replies as tables or as JSON, depending on the flag --output.
class Output
{
public:
  // Throws CtlError (Usage) for an unknown --output. The stream must outlive this object.
  explicit Output(std::ostream& out);

  bool isJson() const { return json_; }

  // Prints the reply as JSON, or `rows` (an array of objects) as a table with these columns. The
  // names of the columns are field names.
  void printTable(const nlohmann::json& reply,
                  const nlohmann::json& rows,
                  const std::vector<std::string>& columns);

  // Prints the reply as JSON, or the named fields one per line.
  void printFields(const nlohmann::json& reply, const std::vector<std::string>& names);

  // Prints a line of text with --output=table only.
  void printText(const std::string& text);

  // Prints an event on one line, as JSON or as the values of the named fields.
  void printEvent(const nlohmann::json& event, const std::vector<std::string>& names);

private:
  std::ostream& out_;
  bool json_;
};

} // namespace sycamore::ctl
