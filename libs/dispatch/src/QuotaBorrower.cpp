#include <dispatch/QuotaBorrower.h>

namespace sycamore::dispatch {

std::shared_ptr<QuotaBalance> QuotaBorrower::balanceOf(const base::WorkspaceId& workspace)
{
  auto& balance = balances_[workspace];
  if (!balance) {
    balance = std::make_shared<QuotaBalance>();
  }
  return balance;
}

std::vector<QuotaQuestions> QuotaBorrower::takeUrgentQuestions(const base::WorkspaceId& workspace,
                                                               base::TimePoint now)
{
  const auto balance = balanceOf(workspace);
  if (!balance->isQuestionUrgent(now)) {
    return {};
  }
  ++lastSequence_;
  return { { lastSequence_, { balance->ask(workspace, lastSequence_, now) } } };
}

std::vector<QuotaQuestions> QuotaBorrower::takeDueQuestions(base::TimePoint now)
{
  std::vector<QuotaQuestions> messages;
  for (const auto& [workspace, balance] : balances_) {
    if (!balance->isQuestionDue(now)) {
      continue;
    }
    if (messages.empty() || messages.back().questions.size() == kMaxQuotaQuestions) {
      messages.push_back({ ++lastSequence_, {} });
    }
    messages.back().questions.push_back(balance->ask(workspace, lastSequence_, now));
  }
  return messages;
}

void QuotaBorrower::onLoans(const QuotaLoans& loans, base::TimePoint now)
{
  for (const QuotaLoan& loan : loans.loans) {
    balanceOf(loan.workspace)->onLoan(loans.sequence, loan, now);
  }
}

} // namespace sycamore::dispatch
