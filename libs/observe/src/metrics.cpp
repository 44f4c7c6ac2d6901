#include "camphorwind/observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>
#include <unordered_map>

namespace camphorwind::observe {

namespace {

constexpr auto Prefix = "camphorwind_";

const prometheus::Histogram::BucketBoundaries SecondsBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.1, 2, 5, 10, 30};

prometheus::Labels labels(const std::string &Name, const std::string &Value) {
  if (Name.empty())
    return {};
  return {{Name, Value}};
}

} // namespace

struct Metrics::Impl {
  static constexpr std::size_t RanCount = 3;

  prometheus::Counter &counter(const std::string &Name,
                               const prometheus::Labels &Labels) {
    return prometheus::BuildCounter()
        .Name(Prefix + Name)
        .Register(Registry_)
        .Add(Labels);
  }

  prometheus::Registry Registry_;
  std::array<std::array<prometheus::Counter *, RanCount>,
             base::AllRefusalReasons.size()>
      Refusals_{};
  std::array<prometheus::Counter *, base::AllRetryReasons.size()> Retries_{};
  std::unordered_map<std::string, prometheus::Counter *> Counters_;
  std::unordered_map<std::string, prometheus::Gauge *> Gauges_;
  std::unordered_map<std::string, prometheus::Histogram *> Histograms_;
};

Metrics::Metrics() : Inner_(std::make_unique<Impl>()) {
  static constexpr base::Ran Effects[] = {base::Ran::No, base::Ran::Unknown,
                                          base::Ran::Yes};
  for (base::RefusalReason Reason : base::AllRefusalReasons)
    for (base::Ran Effect : Effects)
      Inner_->Refusals_[static_cast<std::size_t>(Reason)]
                       [static_cast<std::size_t>(Effect)] = &Inner_->counter(
          "refusals_total", {{"reason", std::string(toString(Reason))},
                             {"ran", std::string(toString(Effect))}});
  for (base::RetryReason Reason : base::AllRetryReasons)
    Inner_->Retries_[static_cast<std::size_t>(Reason)] = &Inner_->counter(
        "retries_total", {{"reason", std::string(toString(Reason))}});
}

Metrics::~Metrics() = default;

void Metrics::countRefusal(base::RefusalReason Reason, base::Ran Effect) {
  Inner_
      ->Refusals_[static_cast<std::size_t>(Reason)]
                 [static_cast<std::size_t>(Effect)]
      ->Increment();
}

void Metrics::countRetry(base::RetryReason Reason) {
  Inner_->Retries_[static_cast<std::size_t>(Reason)]->Increment();
}

void Metrics::count(const std::string &Name, const std::string &LabelName,
                    const std::string &Label, double Amount) {
  auto &Counter = Inner_->Counters_[Name + '\n' + Label];
  if (!Counter)
    Counter = &Inner_->counter(Name, labels(LabelName, Label));
  Counter->Increment(Amount);
}

void Metrics::count(const std::string &Name, double Amount) {
  count(Name, "", "", Amount);
}

void Metrics::gauge(const std::string &Name, const std::string &LabelName,
                    const std::string &Label, double Value) {
  auto &Gauge = Inner_->Gauges_[Name + '\n' + Label];
  if (!Gauge)
    Gauge = &prometheus::BuildGauge()
                 .Name(Prefix + Name)
                 .Register(Inner_->Registry_)
                 .Add(labels(LabelName, Label));
  Gauge->Set(Value);
}

void Metrics::gauge(const std::string &Name, double Value) {
  gauge(Name, "", "", Value);
}

void Metrics::observe(const std::string &Name, base::Duration Span) {
  auto &Histogram = Inner_->Histograms_[Name];
  if (!Histogram)
    Histogram = &prometheus::BuildHistogram()
                     .Name(Prefix + Name)
                     .Register(Inner_->Registry_)
                     .Add({}, SecondsBuckets);
  Histogram->Observe(std::chrono::duration<double>(Span).count());
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Inner_->Registry_.Collect());
}

} // namespace camphorwind::observe
