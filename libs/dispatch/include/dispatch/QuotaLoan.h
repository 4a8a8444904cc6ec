#pragma once

#include <base/Ids.h>
#include <base/Time.h>

#include <cstdint>
#include <vector>

namespace sycamore::dispatch {

// Requests that an entry VM may run for a workspace without asking. It has borrowed them from the
// coordinator, which counts the requests of all entry VMs against the workspace's quota.
struct QuotaLoan
{
  base::WorkspaceId workspace;
  // Requests that the VM gets in addition to those that it holds.
  unsigned count = 0;
  // If fewer than were waiting: time after which to ask again.
  base::Duration retryIn{};
};

// An entry VM's question for a loan.
struct QuotaQuestion
{
  base::WorkspaceId workspace;
  // Unused requests that the VM holds from earlier loans.
  unsigned held = 0;
  // Unused requests that the VM held and gives back.
  unsigned returned = 0;
  // Requests for which callers wait, and those that are expected soon beside them.
  unsigned waiting = 0;
  unsigned expected = 0;
};

// A VM numbers its questions, so that late ones and answers to earlier ones are recognized.
struct QuotaQuestions
{
  std::uint64_t sequence = 0;
  std::vector<QuotaQuestion> questions;
};

struct QuotaLoans
{
  std::uint64_t sequence = 0;
  std::vector<QuotaLoan> loans;
};

// Time for which a loan holds, together with all that the VM held when it asked. The VM counts it
// from its question and the coordinator from its answer, so that the VM's end comes first.
inline constexpr base::Duration kQuotaLoanDuration = base::milliseconds(1500);

// Number of questions that fit into a datagram of the size of an Ethernet frame.
inline constexpr std::size_t kMaxQuotaQuestions = 40;

} // namespace sycamore::dispatch
