#pragma once

#include <entry/WorkspaceGate.h>

namespace sycamore::entry {

// Lets one request of a workspace run as far as its key is valid and its workspace's quota allows
// it. What it has taken of the quota is given back if the request hasn't run. Traffic thread only.
class WorkspaceAdmission
{
public:
  // `gate` has to outlive this object.
  WorkspaceAdmission(WorkspaceGate& gate, std::shared_ptr<const dispatch::Workspace> workspace);
  ~WorkspaceAdmission();
  WorkspaceAdmission(const WorkspaceAdmission&) = delete;
  WorkspaceAdmission& operator=(const WorkspaceAdmission&) = delete;

  const dispatch::Workspace& workspace() const { return *workspace_; }

  // Decides whether the request may be sent now.
  AccessDecision decide(base::TimePoint now);

  // Sets whether a server may have run the request.
  void setMayHaveRun(bool mayHaveRun) { mayHaveRun_ = mayHaveRun; }

private:
  AccessDecision onWait(base::TimePoint now);

  WorkspaceGate& gate_;
  std::shared_ptr<const dispatch::Workspace> workspace_;
  // Null if the workspace has no quota.
  std::shared_ptr<dispatch::QuotaBalance> balance_;
  dispatch::QuotaBound bound_;
  // Set while the request waits for a loan.
  std::optional<dispatch::QuotaWait> wait_;
  base::TimePoint waitEndsAt_{};
  bool hasTaken_ = false;
  bool mayHaveRun_ = false;
};

} // namespace sycamore::entry
