#pragma once

#include <dispatch/KeyReport.h>

#include <nlohmann/json.hpp>

namespace sycamore::entry {

// Convert the requests by bucket and those by hot key to lists of number and count by service, for
// messages between entry VMs.
nlohmann::json writeKeyBuckets(const dispatch::KeyReports& reports);
nlohmann::json writeHotKeys(const dispatch::KeyReports& reports);

// Converts both back. Throws nlohmann::json::exception if they aren't of that form.
dispatch::KeyReports readKeyReports(const nlohmann::json& buckets, const nlohmann::json& hotKeys);

} // namespace sycamore::entry
