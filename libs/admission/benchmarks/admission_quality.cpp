#include "Measurements.h"

#include <quality/QualityMain.h>

int main(int argc, char** argv)
{
  using namespace sycamore::quality;
  return qualityMain(argc, argv, "admission_quality", [](QualityReport& report) {
    for (const Scenario& scenario : scenarios()) {
      measureStragglers(report, scenario);
      measureColdStart(report, scenario);
      measureSlots(report, scenario);
      measureSharedBackoff(report, scenario);
    }
  });
}
