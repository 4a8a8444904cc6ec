#include <entry/VmRegistry.h>

#include <entry/SteadyTime.h>

#include <wire/WireError.h>

#include <optional>
#include <utility>

namespace sycamore::entry {

namespace {

constexpr std::chrono::milliseconds kRegisterRetryDelay{ 1000 };
constexpr std::chrono::milliseconds kListRetryDelay{ 200 };

} // namespace

VmRegistry::VmRegistry(asio::io_context& context,
                       StoreClient& store,
                       EventLog& log,
                       base::VmId self,
                       dispatch::EntryVmRecord record,
                       MustBeCurrent mustBeCurrent,
                       VmListener vmListener,
                       PageListener pageListener)
  : store_(store)
  , log_(log)
  , self_(std::move(self))
  , record_(std::move(record))
  , mustBeCurrent_(std::move(mustBeCurrent))
  , vmListener_(std::move(vmListener))
  , pageListener_(std::move(pageListener))
  , listPages_({})
  , registerTimer_(context)
  , listTimer_(context)
{
}

void VmRegistry::registerSelf(std::uint64_t revision)
{
  store_.write(wire::Kind::EntryVms,
               self_.value(),
               revision,
               dispatch::writeEntryVmRecord(record_),
               [this](const StoreAnswer& answer) { onRegistered(answer); });
}

void VmRegistry::onRegistered(const StoreAnswer& answer)
{
  if (answer.outcome == StoreOutcome::Done) {
    list();
    return;
  }
  if (answer.outcome == StoreOutcome::Conflict) {
    try {
      const wire::StoreObject object = wire::readObject(answer.body, answer.era);
      if (wire::ownContent(object) == dispatch::writeEntryVmRecord(record_)) {
        list();
      } else {
        registerSelf(object.revision);
      }
      return;
    } catch (const wire::WireError& error) {
      log_.write("store_answer_unreadable", { { "error", error.what() } });
    }
  }
  registerTimer_.expires_after(kRegisterRetryDelay);
  registerTimer_.async_wait([this](const error_code& error) {
    if (!error) {
      registerSelf(0);
    }
  });
}

void VmRegistry::list()
{
  ++listNumber_;
  listPages_.begin(clockNow());
  readPage();
}

void VmRegistry::readPage()
{
  const auto reading =
    mustBeCurrent_() ? wire::ReadConsistency::Current : wire::ReadConsistency::StaleAllowed;
  store_.list(wire::Kind::EntryVms,
              listPages_.after(),
              reading,
              [this, number = listNumber_](const StoreAnswer& answer) {
                // A later list has begun meanwhile.
                if (number == listNumber_) {
                  onPage(answer);
                }
              });
}

void VmRegistry::onPage(const StoreAnswer& answer)
{
  if (answer.outcome != StoreOutcome::Done) {
    retryList();
    return;
  }
  try {
    const wire::ListPage page = wire::readList(answer.body, answer.era);
    for (const wire::StoreObject& object : page.items) {
      readRecord(object);
    }
    pageListener_();
    const dispatch::ListStep step = listPages_.onPage(page.hasMore, page.last, clockNow());
    if (step == dispatch::ListStep::ReadNext) {
      readPage();
    } else if (step != dispatch::ListStep::Complete) {
      log_.write("list_incomplete",
                 { { "kind", static_cast<int>(wire::Kind::EntryVms) },
                   { "reason", dispatch::toText(step) },
                   { "pages", listPages_.pages() } });
      retryList();
    }
  } catch (const wire::WireError& error) {
    log_.write("store_answer_unreadable", { { "error", error.what() } });
    retryList();
  }
}

// A record of another writer that can't be read names no VM.
void VmRegistry::readRecord(const wire::StoreObject& object)
{
  std::optional<dispatch::EntryVmRecord> record;
  try {
    record = dispatch::readEntryVmRecord(wire::ownContent(object));
  } catch (const std::exception& error) {
    log_.write("vm_record_unreadable", { { "name", object.name }, { "error", error.what() } });
    return;
  }
  vmListener_(base::VmId(object.name), *record);
}

void VmRegistry::retryList()
{
  listTimer_.expires_after(kListRetryDelay);
  listTimer_.async_wait([this](const error_code& error) {
    if (!error && mustBeCurrent_()) {
      list();
    }
  });
}

} // namespace sycamore::entry
