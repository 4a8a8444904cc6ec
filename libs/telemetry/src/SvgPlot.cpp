#include "SvgPlot.h"

#include "ReportText.h"

#include <algorithm>
#include <cmath>

namespace sycamore::telemetry {

namespace {

constexpr double kWidth = 560;
constexpr double kHeight = 230;
constexpr double kLeft = 62;
constexpr double kRight = 548;
constexpr double kTop = 14;
constexpr double kBottom = 184;
constexpr int kTicks = 5;

std::string coordinateText(double value)
{
  return fixedText(value, 1);
}

std::string textElement(double x, double y, const std::string& anchor, const std::string& content)
{
  return "<text x=\"" + coordinateText(x) + "\" y=\"" + coordinateText(y) + "\" text-anchor=\"" +
         anchor + "\">" + escapeHtml(content) + "</text>";
}

std::string lineElement(const std::string& kind, double x1, double y1, double x2, double y2)
{
  return "<line class=\"" + kind + "\" x1=\"" + coordinateText(x1) + "\" y1=\"" +
         coordinateText(y1) + "\" x2=\"" + coordinateText(x2) + "\" y2=\"" + coordinateText(y2) +
         "\"/>";
}

// Returns the smallest of 1, 2, 5, 10, 20, ... that is not below the value.
double roundUpToTickValue(double value)
{
  const double power = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : { 1.0, 2.0, 5.0 }) {
    if (factor * power >= value * (1 - 1e-9)) {
      return factor * power;
    }
  }
  return 10 * power;
}

double largestOf(const PlotSpec& spec, std::size_t steps)
{
  double largest = spec.high;
  for (std::size_t i = 0; i < steps; ++i) {
    double sum = 0;
    for (const PlotSeries& series : spec.series) {
      const double value = series.values.at(i).value_or(0);
      sum = spec.stacked ? sum + value : std::max(sum, value);
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

} // namespace

SvgPlot::SvgPlot(const PlotSpec& spec)
  : spec_(spec)
  , steps_(spec.series.at(0).values.size())
  , high_(largestOf(spec, steps_))
{
  if (spec_.scale == PlotScale::Linear) {
    high_ = std::ceil(high_ / linearTickStep() - 1e-9) * linearTickStep();
  } else {
    high_ = roundUpToTickValue(high_);
  }
}

double SvgPlot::scaled(double value) const
{
  switch (spec_.scale) {
    case PlotScale::Root:
      return std::sqrt(std::max(value, 0.0) / high_);
    case PlotScale::Log:
      return std::log(std::max(value, spec_.low) / spec_.low) / std::log(high_ / spec_.low);
    case PlotScale::Linear:
      break;
  }
  return (value - spec_.low) / (high_ - spec_.low);
}

double SvgPlot::x(double step) const
{
  return kLeft + (kRight - kLeft) * step / static_cast<double>(steps_);
}

double SvgPlot::y(double value) const
{
  return kBottom - (kBottom - kTop) * std::clamp(scaled(value), 0.0, 1.0);
}

double SvgPlot::linearTickStep() const
{
  return roundUpToTickValue((high_ - spec_.low) / kTicks);
}

std::vector<double> SvgPlot::ticks() const
{
  std::vector<double> values;
  if (spec_.scale == PlotScale::Log) {
    for (double value = spec_.low; value <= high_ * 1.001; value *= 10) {
      values.push_back(value);
    }
  } else if (spec_.scale == PlotScale::Root) {
    for (const double share : { 0.0, 0.01, 0.1, 0.25, 0.5, 1.0 }) {
      values.push_back(share * high_);
    }
  } else {
    for (double value = spec_.low; value <= high_ * 1.001; value += linearTickStep()) {
      values.push_back(value);
    }
  }
  return values;
}

std::string SvgPlot::tickText(double value) const
{
  const bool isInteger = std::abs(value - std::round(value)) < 1e-9;
  return fixedText(value, isInteger ? 0 : value < 0.1 ? 2 : value < 10 ? (high_ < 2 ? 2 : 1) : 1);
}

std::string SvgPlot::grid() const
{
  std::string out;
  for (const double value : ticks()) {
    out += lineElement("grid", kLeft, y(value), kRight, y(value));
    out += textElement(kLeft - 6, y(value) + 4, "end", tickText(value));
  }
  const std::string middle = coordinateText((kTop + kBottom) / 2);
  out += "<text class=\"axis\" text-anchor=\"middle\" transform=\"translate(14 " + middle +
         ") rotate(-90)\">" + escapeHtml(spec_.axis) + "</text>";
  return out;
}

std::string SvgPlot::timeAxis() const
{
  std::string out = lineElement("base", kLeft, kBottom, kRight, kBottom);
  for (int ago = spec_.span; ago >= 0; ago -= spec_.tick) {
    const double position =
      x(static_cast<double>(steps_) * (spec_.span - ago) / static_cast<double>(spec_.span));
    out += lineElement("base", position, kBottom, position, kBottom + 4);
    const std::string label = ago == 0 ? "now" : "-" + std::to_string(ago) + ' ' + spec_.timeUnit;
    out += textElement(position, kBottom + 17, ago == 0 ? "end" : "middle", label);
  }
  return out + "<text class=\"axis\" text-anchor=\"middle\" x=\"" +
         coordinateText((kLeft + kRight) / 2) + "\" y=\"" + coordinateText(kBottom + 38) +
         "\">time before the report (" + spec_.timeUnit + ")</text>";
}

std::string SvgPlot::thresholds() const
{
  std::string out;
  // Labels alternate between the left and the right end, because low thresholds lie close together
  // on a square-root scale.
  bool isLeft = true;
  for (const PlotThreshold& threshold : spec_.thresholds) {
    const double height = y(threshold.value);
    out += lineElement("threshold", kLeft, height, kRight, height);
    out += textElement(
      isLeft ? kLeft + 4 : kRight - 4, height - 3, isLeft ? "start" : "end", threshold.label);
    isLeft = !isLeft;
  }
  return out;
}

std::string SvgPlot::line(std::size_t index) const
{
  std::string path;
  bool connected = false;
  for (std::size_t i = 0; i < steps_; ++i) {
    const auto& value = spec_.series[index].values.at(i);
    if (value) {
      // The short segment makes a point without neighbours visible as a round cap.
      path += (connected ? "L" : "M") + coordinateText(x(static_cast<double>(i) + 0.5)) + ' ' +
              coordinateText(y(*value)) + (connected ? "" : "h0.1");
    }
    connected = value.has_value();
  }
  return "<path class=\"line c" + std::to_string(index) + "\" d=\"" + path + "\"/>";
}

std::string SvgPlot::bars() const
{
  std::string out;
  const double width = (kRight - kLeft) / static_cast<double>(steps_) * 0.84;
  for (std::size_t i = 0; i < steps_; ++i) {
    double below = 0;
    for (std::size_t index = 0; index < spec_.series.size(); ++index) {
      const double value = spec_.series[index].values.at(i).value_or(0);
      if (value <= 0) {
        continue;
      }
      const double top = y(below + value);
      out += "<rect class=\"bar c" + std::to_string(index) + "\" x=\"" +
             coordinateText(x(static_cast<double>(i) + 0.08)) + "\" y=\"" + coordinateText(top) +
             "\" width=\"" + coordinateText(width) + "\" height=\"" +
             fixedText(std::max(y(below) - top, 0.5), 1) + "\"><title>" +
             escapeHtml(spec_.series[index].name) + ": " + tickText(value) + "</title></rect>";
      below += value;
    }
  }
  return out;
}

std::string SvgPlot::render() const
{
  std::string out = "<svg viewBox=\"0 0 " + fixedText(kWidth, 0) + ' ' + fixedText(kHeight, 0) +
                    "\" role=\"img\" aria-label=\"" + escapeHtml(spec_.title) + "\">";
  out += grid();
  if (spec_.stacked) {
    out += bars();
  } else {
    for (std::size_t index = 0; index < spec_.series.size(); ++index) {
      out += line(index);
    }
  }
  return out + thresholds() + timeAxis() + "</svg>";
}

} // namespace sycamore::telemetry
