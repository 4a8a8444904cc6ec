#pragma once

#include <dispatch/Configuration.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace sycamore::dispatch {

// Finds the workspace of a key in one version of the configuration.
class WorkspaceDirectory
{
public:
  explicit WorkspaceDirectory(std::shared_ptr<const Configuration> configuration);

  // Returns whether requests need a key, except those of public routes.
  bool requiresKeys() const { return configuration_->workspaces.has_value(); }

  // Returns the workspace that holds the key; null if none does.
  std::shared_ptr<const Workspace> find(const std::string& apiKey) const;

private:
  std::shared_ptr<const Configuration> configuration_;
  std::unordered_map<std::string, const Workspace*> byKey_;
};

} // namespace sycamore::dispatch
