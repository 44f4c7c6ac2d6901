#ifndef CAMPHORWIND_OBSERVE_METRICS_H
#define CAMPHORWIND_OBSERVE_METRICS_H

#include "camphorwind/base/reasons.h"
#include "camphorwind/base/time.h"

#include <memory>
#include <string>

/// A process's counters, gauges and histograms, by prometheus-cpp.
namespace camphorwind::observe {

/// Metrics of one process. Names get the prefix "camphorwind_".
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts a refused request by reason and by what is known of its effect.
  void countRefusal(base::RefusalReason Reason, base::Ran Effect);
  void countRetry(base::RetryReason Reason);

  /// Adds to a counter; \p Label distinguishes values of one kind.
  void count(const std::string &Name, const std::string &LabelName,
             const std::string &Label, double Amount = 1);
  void count(const std::string &Name, double Amount = 1);
  /// Sets a gauge.
  void gauge(const std::string &Name, double Value);
  void gauge(const std::string &Name, const std::string &LabelName,
             const std::string &Label, double Value);
  /// Adds a span of time to a histogram of seconds.
  void observe(const std::string &Name, base::Duration Span);

  /// Returns every metric in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner_;
};

} // namespace camphorwind::observe

#endif // CAMPHORWIND_OBSERVE_METRICS_H
