#include <control/PlatformAnswers.h>

#include <doctest/doctest.h>

using namespace sycamore::control;

// Guards against one item of another writer that makes a whole list unreadable.
TEST_CASE("an item that can't be read costs that item alone")
{
  for (const char* const faulty : { "5",
                                    "null",
                                    "[]",
                                    "{}",
                                    R"({"id":5,"role":"entry"})",
                                    R"({"id":"x"})",
                                    R"({"id":"x","role":"entry","address":5})",
                                    R"({"name":5,"version":1,"value":{}})",
                                    R"({"name":"x","version":"1","value":{}})",
                                    R"({"name":"x","version":1})" }) {
    CAPTURE(faulty);
    const std::string item = faulty;
    const PlatformVms vms = parseVmList(R"({"vms":[{"id":"a","role":"entry"},)" + item +
                                        R"(,{"id":"b","role":"entry"}]})");
    CHECK(vms.vms.size() == 2);
    CHECK(vms.unreadable == 1);
    const PlatformObjects objects =
      parseObjects(R"({"revision":7,"objects":[{"name":"a","version":1,"value":{}},)" + item +
                   R"(,{"name":"b","version":2,"value":{}}]})");
    CHECK(objects.objects.size() == 2);
    CHECK(objects.unreadable == 1);
    CHECK(objects.revision == 7);
  }
}
