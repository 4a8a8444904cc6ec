#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sycamore::telemetry {

enum class PlotScale
{
  Linear,
  // Square root: keeps thresholds readable next to values that are a hundred times as high.
  Root,
  Log
};

// Values of one quantity over time, oldest first; empty for steps without a value.
struct PlotSeries
{
  std::string name;
  std::vector<std::optional<double>> values;
};

struct PlotThreshold
{
  double value = 0;
  std::string label;
};

// Contents of a plot. Steps are of equal length, and the last one ends now.
struct PlotSpec
{
  std::string title;
  // Label of the vertical axis, with the unit.
  std::string axis;
  std::string timeUnit;
  // Length of the time axis and distance between its ticks, in time units.
  int span = 6;
  int tick = 1;
  PlotScale scale = PlotScale::Linear;
  // Draws stacked bars instead of lines.
  bool stacked = false;
  // Range that the vertical axis covers at least.
  double low = 0;
  double high = 1;
  std::vector<PlotSeries> series;
  std::vector<PlotThreshold> thresholds;
};

} // namespace sycamore::telemetry
