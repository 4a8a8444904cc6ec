#pragma once

#include "PlotSpec.h"

#include <string>
#include <vector>

namespace sycamore::telemetry {

// Renders a plot as an inline SVG element. The page's classes c0 to c5 define the colours.
class SvgPlot
{
public:
  explicit SvgPlot(const PlotSpec& spec);

  std::string render() const;

private:
  double scaled(double value) const;
  double x(double step) const;
  double y(double value) const;
  std::vector<double> ticks() const;
  double linearTickStep() const;
  std::string tickText(double value) const;

  std::string grid() const;
  std::string timeAxis() const;
  std::string thresholds() const;
  std::string line(std::size_t index) const;
  std::string bars() const;

  const PlotSpec& spec_;
  std::size_t steps_ = 1;
  double high_ = 1;
};

} // namespace sycamore::telemetry
