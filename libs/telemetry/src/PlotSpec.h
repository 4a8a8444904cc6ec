#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sycamore::telemetry {

enum class PlotScale
{
  Linear,
  // Square root: keeps thresholds readable beside values a hundred times as high.
  Root,
  Log
};

// One quantity over time, oldest value first; nothing where there is no value.
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

// What a plot shows. Steps are equally long and end now.
struct PlotSpec
{
  std::string title;
  // Label of the vertical axis, with the unit.
  std::string axis;
  std::string timeUnit;
  // Length of the horizontal axis in time units, and the distance of its ticks.
  int span = 6;
  int tick = 1;
  PlotScale scale = PlotScale::Linear;
  // Bars on top of each other instead of lines.
  bool stacked = false;
  // The vertical axis reaches at least from here to there.
  double low = 0;
  double high = 1;
  std::vector<PlotSeries> series;
  std::vector<PlotThreshold> thresholds;
};

} // namespace sycamore::telemetry
