#include <dispatch/ReadRetry.h>

#include <doctest/doctest.h>

using namespace sycamore;
using namespace sycamore::dispatch;
using std::chrono::milliseconds;

// Guards against delays that add up when only a connection has failed.
TEST_CASE("the first call that times out is repeated at once, and further ones after a delay")
{
  ReadRetry retry({});
  CHECK(retry.delayAfterFailure(true, 0) == base::Duration::zero());
  CHECK(retry.delayAfterFailure(true, 0) == milliseconds(50));
  CHECK(retry.delayAfterFailure(true, 0) == milliseconds(100));
  retry.onAnswered();
  CHECK(retry.delayAfterFailure(true, 0) == base::Duration::zero());
}

// Guards against a store that gets more calls the less it can take.
TEST_CASE("a call that was refused is repeated after a delay that doubles up to a maximum")
{
  ReadRetry retry({});
  CHECK(retry.delayAfterFailure(false, 0) == milliseconds(50));
  CHECK(retry.delayAfterFailure(false, 0) == milliseconds(100));
  CHECK(retry.delayAfterFailure(false, 0) == milliseconds(200));
  for (int i = 0; i < 10; ++i) {
    CHECK(retry.delayAfterFailure(false, 0.999) <= milliseconds(800));
  }
  CHECK(retry.delayAfterFailure(false, 0) == milliseconds(400));
}
