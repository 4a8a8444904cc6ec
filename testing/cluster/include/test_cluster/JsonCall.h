#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace sycamore::test_cluster {

// Sends a JSON request to "ip:port" and returns the JSON of the answer. Throws base::Error unless a
// successful answer arrives within 5 s.
nlohmann::json callJson(const std::string& method,
                        const std::string& address,
                        const std::string& path,
                        const nlohmann::json& body = nlohmann::json::object());

} // namespace sycamore::test_cluster
