#include "PagingStore.h"
#include "ProgramFolder.h"

#include <doctest/doctest.h>

using namespace review;

namespace {

constexpr std::size_t kPageSize = 4;
// Time within which service has to be back after all processes were restarted.
constexpr double kRecovery = 15;
constexpr int kRequests = 60;
// Far above what lists of some entries take in the time of a case, with all their repeats.
constexpr int kManyLists = 2000;

// Entry VMs whose store lists in pages.
class PagedDeployment
{
public:
  PagedDeployment()
    : record_(program_.path() + "/record.txt")
    , deployment_(folder(), record_, Deployment::Sizes{}, false)
    , store_(deployment_.store().address(), kPageSize)
  {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(program_.path())) {
      if (entry.path().extension() == ".json") {
        Json settings = Json::parse(std::ifstream(entry.path()));
        settings["platform"]["address"] = store_.address();
        std::ofstream(entry.path()) << settings.dump(1);
      }
    }
    deployment_.startVmsNow();
  }
  ~PagedDeployment() { unsetenv("TMPDIR"); }
  PagedDeployment(const PagedDeployment&) = delete;
  PagedDeployment& operator=(const PagedDeployment&) = delete;

  Deployment& deployment() { return deployment_; }
  const PagingStore& store() const { return store_; }

  void restartAll()
  {
    for (const auto& vm : deployment_.vms()) {
      vm->kill();
    }
    for (const auto& vm : deployment_.vms()) {
      vm->start();
    }
  }

  // Returns how many requests are served, those for keys and others in turn.
  int served()
  {
    int count = 0;
    for (int i = 0; i < kRequests; ++i) {
      const auto& vm = *deployment_.vms()[static_cast<std::size_t>(i) % deployment_.vms().size()];
      const std::string id = "r" + std::to_string(i);
      const bool isKeyed = i % 2 == 0;
      const Answer answer = deployment_.ask(vm,
                                            isKeyed ? "GET" : "POST",
                                            isKeyed ? "/shelf/5" : "/order/5",
                                            id,
                                            1500,
                                            isKeyed ? i * 1000 : -1);
      count += answer.status == 200 ? 1 : 0;
    }
    return count;
  }

private:
  // The deployment creates its folder in the program's.
  const std::string& folder() const
  {
    setenv("TMPDIR", program_.path().c_str(), 1);
    return program_.path();
  }

  ProgramFolder program_;
  Record record_;
  Deployment deployment_;
  PagingStore store_;
};

} // namespace

// Guards against a list that stops, or begins again without end, at the name of an entry of another
// writer, so that restarted VMs know no servers (RECOVER).
TEST_CASE("restarted VMs serve while entries with unusual names stand at the end of a page")
{
  signal(SIGPIPE, SIG_IGN);
  // They are listed behind the three servers of the plain service, and so end the first page.
  const std::vector<std::vector<std::string>> cases{
    { "i-order-2 x" },
    { "i-order-2&1", "i-order-2&2", "i-order-2&3", "i-order-2&4", "i-order-2&5", "i-order-2&6" },
    { "i-order-2#1",
      "i-order-2+2",
      "i-order-2%41",
      "i-order-2\t",
      "i-order-2\r\nX: y",
      "i-order-2?" }
  };
  for (const auto& names : cases) {
    CAPTURE(names.front());
    PagedDeployment paged;
    REQUIRE(paged.deployment().awaitService(20));
    for (const std::string& name : names) {
      paged.deployment().store().put("servers", name, { { "note", "not an instance" } }, nullptr);
    }
    paged.restartAll();
    const int before = paged.store().lists();
    CHECK(paged.deployment().awaitService(kRecovery));
    CHECK(paged.served() == kRequests);
    CHECK(paged.store().refusals() == 0);
    CHECK(paged.store().lists() - before < kManyLists);
  }
}
