#include "runtime/metric_page.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <catch2/catch.hpp>

#include "runtime/metric_families.h"

namespace lugfork {
namespace {

TEST_CASE("the page equals the output of prometheus-cpp for the same metrics", "[metrics]") {
  prometheus::Registry registry;
  addCounter(registry, "packets_total", "Packets.", 0);
  addCounter(registry, "bytes_total", "Bytes.", 123456789012);
  addGauge(registry, "ready", "1 while ready.", 1);
  addGauge(registry, "age_seconds", "Age.", 0.25);
  addGauge(registry, "small", "Small.", 0.00001);
  addGauge(registry, "difference", "Below zero.", -3.5);
  addGauge(registry, "upstream", "With a label.", 1, {{"kind", "a \"b\" \\ c\nd"}});
  addGauge(registry, "placed", "Labels out of order.", 2,
           {{"zone", "own"}, {"cause", "none"}, {"service", "s"}});

  MetricPage page;
  page.addCounter("packets_total", "Packets.", std::uint64_t{0});
  page.addCounter("bytes_total", "Bytes.", std::uint64_t{123456789012});
  page.addGauge("ready", "1 while ready.", 1);
  page.addGauge("age_seconds", "Age.", 0.25);
  page.addGauge("small", "Small.", 0.00001);
  page.addGauge("difference", "Below zero.", -3.5);
  page.addGauge("upstream", "With a label.", 1, {{"kind", "a \"b\" \\ c\nd"}});
  page.addGauge("placed", "Labels out of order.", 2,
                {{"zone", "own"}, {"cause", "none"}, {"service", "s"}});
  CHECK(page.text() == prometheus::TextSerializer().Serialize(registry.Collect()));
}

TEST_CASE("a histogram bucket includes its upper bound, as in prometheus-cpp", "[metrics]") {
  const std::vector<double> bounds = {0.00001, 0.002, 0.5, 2};
  prometheus::Registry registry;
  auto& expected =
      prometheus::BuildHistogram().Name("wait_seconds").Help("Wait.").Register(registry);
  auto& observed = expected.Add({}, bounds);
  MetricHistogram histogram(bounds);
  for (const double value : {0.0, 0.00001, 0.001, 0.002, 0.25, 0.5, 1.0, 8.0}) {
    observed.Observe(value);
    histogram.observe(value);
  }
  MetricPage page;
  page.addHistogram("wait_seconds", "Wait.", histogram);
  CHECK(page.text() == prometheus::TextSerializer().Serialize(registry.Collect()));
}

TEST_CASE("values of one name are grouped under one header", "[metrics]") {
  MetricPage page;
  page.addCounter("dropped_total", "Dropped.", std::uint64_t{1}, {{"cause", "a"}});
  page.addCounter("received_total", "Received.", std::uint64_t{5});
  page.addCounter("dropped_total", "Dropped.", std::uint64_t{2}, {{"cause", "b"}});
  CHECK(page.text() ==
        "# HELP dropped_total Dropped.\n# TYPE dropped_total counter\n"
        "dropped_total{cause=\"a\"} 1\ndropped_total{cause=\"b\"} 2\n"
        "# HELP received_total Received.\n# TYPE received_total counter\nreceived_total 5\n");
}

}  // namespace
}  // namespace lugfork
