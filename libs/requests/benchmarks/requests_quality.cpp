#include "Measurements.h"

#include <quality/QualityMain.h>

int main(int argc, char** argv)
{
  using namespace sycamore::quality;
  return qualityMain(argc, argv, "requests_quality", [](QualityReport& report) {
    for (const Scenario& scenario : scenarios()) {
      measureRetryAmplification(report, scenario);
      measureDuplicateExecutions(report, scenario);
    }
  });
}
