#pragma once

#include <absl/flags/declare.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

ABSL_DECLARE_FLAG(std::vector<std::string>, server);
ABSL_DECLARE_FLAG(std::string, token_file);
ABSL_DECLARE_FLAG(std::string, ca_file);
ABSL_DECLARE_FLAG(std::string, tls_name);
ABSL_DECLARE_FLAG(std::string, cert_file);
ABSL_DECLARE_FLAG(std::string, key_file);
ABSL_DECLARE_FLAG(std::string, output);
ABSL_DECLARE_FLAG(absl::Duration, timeout);
ABSL_DECLARE_FLAG(bool, help);
ABSL_DECLARE_FLAG(bool, dry_run);
ABSL_DECLARE_FLAG(std::int64_t, base);
ABSL_DECLARE_FLAG(std::string, reason);
ABSL_DECLARE_FLAG(std::string, from);
ABSL_DECLARE_FLAG(std::string, to);
ABSL_DECLARE_FLAG(std::string, shards);
ABSL_DECLARE_FLAG(std::string, html);

namespace sycamore::ctl {

// Returns the names of the flags that every command takes.
const std::vector<std::string>& commonFlags();

// Returns the flag's help text and, in brackets, its default value. Empty if there is no such flag.
std::string describeFlag(const std::string& name);

} // namespace sycamore::ctl
