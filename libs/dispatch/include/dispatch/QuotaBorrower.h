#pragma once

#include <dispatch/QuotaBalance.h>

#include <map>
#include <memory>
#include <vector>

namespace sycamore::dispatch {

// What this entry VM holds of the quotas of all workspaces.
class QuotaBorrower
{
public:
  // Returns the balance of a workspace with a quota.
  std::shared_ptr<QuotaBalance> balanceOf(const base::WorkspaceId& workspace);

  // Returns the questions to send now: of one workspace if a request of it waits, or of all
  // workspaces for which there is something to tell. At most kMaxQuotaQuestions stand together.
  std::vector<QuotaQuestions> takeUrgentQuestions(const base::WorkspaceId& workspace,
                                                  base::TimePoint now);
  std::vector<QuotaQuestions> takeDueQuestions(base::TimePoint now);

  void onLoans(const QuotaLoans& loans, base::TimePoint now);

private:
  std::map<base::WorkspaceId, std::shared_ptr<QuotaBalance>> balances_;
  std::uint64_t lastSequence_ = 0;
};

} // namespace sycamore::dispatch
