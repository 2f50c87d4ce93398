#include "runtime/metric_page.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lugfork {

namespace {

constexpr std::size_t kMaxCharacters = 32;

void appendNumber(std::string& text, std::uint64_t value) {
  std::array<char, kMaxCharacters> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  text.append(digits.data(), end.ptr);
}

/** Writes integers without an exponent, as readers match "1", not "1e+00". */
void appendNumber(std::string& text, double value) {
  constexpr double kMaxExactInteger = 9007199254740992;
  if (value >= 0 && value <= kMaxExactInteger && value == std::floor(value)) {
    appendNumber(text, static_cast<std::uint64_t>(value));
    return;
  }
  if (std::isnan(value) || std::isinf(value)) {
    text += std::isnan(value) ? "NaN" : (value > 0 ? "+Inf" : "-Inf");
    return;
  }
  std::array<char, kMaxCharacters> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  text.append(digits.data(), end.ptr);
}

void appendEscaped(std::string& text, std::string_view value) {
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    text += character;
  }
}

/** Sorts labels by name, so that a time series is always written the same way. */
void appendLabels(std::string& text, MetricLabels labels) {
  if (labels.size() == 0) {
    return;
  }
  std::vector<std::pair<std::string_view, std::string_view>> sorted(labels);
  std::sort(sorted.begin(), sorted.end());
  char separator = '{';
  for (const auto& [name, value] : sorted) {
    text += separator;
    text += name;
    text += "=\"";
    appendEscaped(text, value);
    text += '"';
    separator = ',';
  }
  text += '}';
}

template <typename Value>
void appendValue(std::string& text, std::string_view name, std::string_view suffix,
                 MetricLabels labels, Value value) {
  text += name;
  text += suffix;
  appendLabels(text, labels);
  text += ' ';
  appendNumber(text, value);
  text += '\n';
}

}  // namespace

MetricHistogram::MetricHistogram(std::vector<double> bounds)
    : bounds_(std::move(bounds)), counts_(bounds_.size() + 1) {}

void MetricHistogram::observe(double value) {
  const auto bound = std::lower_bound(bounds_.begin(), bounds_.end(), value);
  ++counts_[static_cast<std::size_t>(bound - bounds_.begin())];
  sum_ += value;
}

void MetricPage::addCounter(std::string_view name, std::string_view help, std::uint64_t value,
                            MetricLabels labels) {
  appendValue(familyText(name, help, "counter"), name, "", labels, value);
}

void MetricPage::addCounter(std::string_view name, std::string_view help, double value,
                            MetricLabels labels) {
  appendValue(familyText(name, help, "counter"), name, "", labels, value);
}

void MetricPage::addGauge(std::string_view name, std::string_view help, double value,
                          MetricLabels labels) {
  appendValue(familyText(name, help, "gauge"), name, "", labels, value);
}

void MetricPage::addHistogram(std::string_view name, std::string_view help,
                              const MetricHistogram& histogram) {
  std::string& text = familyText(name, help, "histogram");
  std::string buckets;
  std::uint64_t count = 0;
  for (std::size_t index = 0; index < histogram.bounds().size(); ++index) {
    count += histogram.counts()[index];
    std::string bound;
    appendNumber(bound, histogram.bounds()[index]);
    appendValue(buckets, name, "_bucket", {{"le", bound}}, count);
  }
  count += histogram.counts().back();
  appendValue(buckets, name, "_bucket", {{"le", "+Inf"}}, count);
  appendValue(text, name, "_count", {}, count);
  appendValue(text, name, "_sum", {}, histogram.sum());
  text += buckets;
}

std::string MetricPage::text() const {
  std::string page;
  for (const Family& family : families_) {
    page += family.text;
  }
  return page;
}

std::string& MetricPage::familyText(std::string_view name, std::string_view help,
                                    std::string_view type) {
  // Searches from the newest, as values of one name are usually added one after the other.
  const auto found = std::find_if(families_.rbegin(), families_.rend(),
                                  [&](const Family& family) { return family.name == name; });
  if (found != families_.rend()) {
    return found->text;
  }
  Family& family = families_.emplace_back(Family{std::string(name), ""});
  family.text.append("# HELP ").append(name).append(" ").append(help);
  family.text.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
  return family.text;
}

}  // namespace lugfork
