#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace sycamore::ctl {

// Prints replies as tables or JSON, as the flag --output says.
class Output
{
public:
  // Throws CtlError (Usage) for an unknown --output. The stream must outlive this object.
  explicit Output(std::ostream& out);

  bool isJson() const { return json_; }

  // The reply as JSON, or `rows` (an array of objects) as a table with these columns. Columns are
  // field names.
  void table(const nlohmann::json& reply,
             const nlohmann::json& rows,
             const std::vector<std::string>& columns);

  // The reply as JSON, or its fields one a line.
  void fields(const nlohmann::json& reply, const std::vector<std::string>& names);

  // A line of text that only tables get.
  void note(const std::string& text);

  // One line of JSON, or the fields side by side; for events.
  void line(const nlohmann::json& event, const std::vector<std::string>& names);

private:
  std::ostream& out_;
  bool json_;
};

} // namespace sycamore::ctl
