#include <dispatch/WorkspaceDirectory.h>

namespace sycamore::dispatch {

WorkspaceDirectory::WorkspaceDirectory(std::shared_ptr<const Configuration> configuration)
  : configuration_(std::move(configuration))
{
  if (!configuration_->workspaces) {
    return;
  }
  for (const Workspace& workspace : *configuration_->workspaces) {
    for (const std::string& apiKey : workspace.apiKeys) {
      // An empty key would let requests without one in.
      if (!apiKey.empty()) {
        byKey_.emplace(apiKey, &workspace);
      }
    }
  }
}

std::shared_ptr<const Workspace> WorkspaceDirectory::find(const std::string& apiKey) const
{
  const auto found = byKey_.find(apiKey);
  // Shares the ownership of the configuration, so that a request may outlast this version.
  return found == byKey_.end() ? nullptr
                               : std::shared_ptr<const Workspace>(configuration_, found->second);
}

} // namespace sycamore::dispatch
