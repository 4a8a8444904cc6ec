#include "PeerMessageJson.h"

#include <entry/LoadMessageJson.h>

namespace sycamore::entry {

namespace {

dispatch::LimitedServer readLimitedServer(const Json& row)
{
  const auto limit = dispatch::usableLimit(row.at(2).get<double>());
  return { readIncarnation(row), limit.value_or(dispatch::RequestLimit{}) };
}

} // namespace

dispatch::ServerIncarnation readIncarnation(const Json& row)
{
  return { base::ServerId(row.at(0).get<std::string>()), row.at(1).get<std::int64_t>() };
}

Json writeLimitedServers(const std::vector<dispatch::LimitedServer>& servers)
{
  Json rows = Json::array();
  for (const dispatch::LimitedServer& limited : servers) {
    rows.push_back({ limited.server.id.value(), limited.server.born, limited.limit.perSecond });
  }
  return rows;
}

std::vector<dispatch::LimitedServer> readLimitedServers(const Json& rows)
{
  std::vector<dispatch::LimitedServer> servers;
  for (const Json& row : rows) {
    servers.push_back(readLimitedServer(row));
  }
  return servers;
}

Json toJson(const ServerLimitMessage& message)
{
  return Json::array({ kServerLimit,
                       message.server.id.value(),
                       message.server.born,
                       message.limit ? Json(message.limit->perSecond) : Json() });
}

ServerLimitMessage readServerLimit(const Json& json)
{
  ServerLimitMessage message;
  message.server = { base::ServerId(json.at(1).get<std::string>()),
                     json.at(2).get<std::int64_t>() };
  if (!json.at(3).is_null()) {
    message.limit = dispatch::usableLimit(json.at(3).get<double>());
  }
  return message;
}

Json toJson(const PermitRequestMessage& message)
{
  const dispatch::PermitQuestion& question = message.question;
  return Json::array({ kPermitRequest,
                       writeLimitedServers({ question.limited }),
                       question.wanted,
                       question.priority });
}

PermitRequestMessage readPermitRequest(const Json& json)
{
  return {
    { readLimitedServer(json.at(1).at(0)), json.at(2).get<unsigned>(), json.at(3).get<unsigned>() }
  };
}

Json toJson(const PermitGrantMessage& message)
{
  return Json::array({ kPermitGrant,
                       message.server.id.value(),
                       message.server.born,
                       message.grant.count,
                       toMilliseconds(message.grant.retryIn) });
}

PermitGrantMessage readPermitGrant(const Json& json)
{
  return { { base::ServerId(json.at(1).get<std::string>()), json.at(2).get<std::int64_t>() },
           { json.at(3).get<unsigned>(),
             std::chrono::milliseconds(json.at(4).get<std::int64_t>()) } };
}

Json toJson(const QuotaQuestionsMessage& message)
{
  Json rows = Json::array();
  for (const dispatch::QuotaQuestion& question : message.questions.questions) {
    rows.push_back({ question.workspace.value(),
                     question.held,
                     question.returned,
                     question.waiting,
                     question.expected });
  }
  return Json::array({ kQuotaQuestions, message.run, message.questions.sequence, std::move(rows) });
}

QuotaQuestionsMessage readQuotaQuestions(const Json& json)
{
  QuotaQuestionsMessage message;
  message.run = json.at(1).get<std::uint64_t>();
  message.questions.sequence = json.at(2).get<std::uint64_t>();
  for (const Json& row : json.at(3)) {
    message.questions.questions.push_back({ base::WorkspaceId(row.at(0).get<std::string>()),
                                            row.at(1).get<unsigned>(),
                                            row.at(2).get<unsigned>(),
                                            row.at(3).get<unsigned>(),
                                            row.at(4).get<unsigned>() });
  }
  return message;
}

Json toJson(const QuotaLoansMessage& message)
{
  Json rows = Json::array();
  for (const dispatch::QuotaLoan& loan : message.loans.loans) {
    rows.push_back({ loan.workspace.value(), loan.count, toMilliseconds(loan.retryIn) });
  }
  return Json::array({ kQuotaLoans, message.loans.sequence, std::move(rows) });
}

QuotaLoansMessage readQuotaLoans(const Json& json)
{
  QuotaLoansMessage message;
  message.loans.sequence = json.at(1).get<std::uint64_t>();
  for (const Json& row : json.at(2)) {
    message.loans.loans.push_back({ base::WorkspaceId(row.at(0).get<std::string>()),
                                    row.at(1).get<unsigned>(),
                                    std::chrono::milliseconds(row.at(2).get<std::int64_t>()) });
  }
  return message;
}

} // namespace sycamore::entry
