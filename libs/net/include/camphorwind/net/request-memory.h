#ifndef CAMPHORWIND_NET_REQUEST_MEMORY_H
#define CAMPHORWIND_NET_REQUEST_MEMORY_H

#include "camphorwind/base/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace camphorwind::net {

/// Limits on the bytes that a server holds for requests.
struct RequestMemoryLimits {
  /// Bytes of all requests together; 0 for no limit.
  std::size_t Bytes_ = 0;
  /// Part of Bytes_ that only requests of up to SmallBytes_ may use.
  std::size_t SmallReserve_ = 0;
  /// Requests that hold more count as large.
  std::size_t SmallBytes_ = 64UL * 1024;
};

/// Counts the bytes that a server holds for requests, and picks the unfinished
/// request to refuse when they exceed their limit: the one with the largest
/// product of bytes and time without progress. Requests that were received
/// whole may have run and are never picked. A \p Caller identifies an
/// unfinished request.
template <class Caller> class RequestMemory {
public:
  void setLimits(const RequestMemoryLimits &Limits) { Limits_ = Limits; }

  /// Sets the bytes that \p By holds for an unfinished request, which has made
  /// progress.
  void hold(Caller By, std::size_t Bytes, base::TimePoint Now) {
    Entry &Held = Unfinished_[By];
    Totals_->add(Bytes, Limits_.SmallBytes_);
    Totals_->remove(Held.Bytes_, Held.SmallBytes_);
    Held = {Bytes, Limits_.SmallBytes_, Now};
  }

  /// Forgets an unfinished request.
  void release(Caller By) {
    auto Found = Unfinished_.find(By);
    if (Found == Unfinished_.end())
      return;
    Totals_->remove(Found->second.Bytes_, Found->second.SmallBytes_);
    Unfinished_.erase(Found);
  }

  /// Counts a request that was received whole until the returned object is
  /// destroyed, which may outlive this one.
  std::shared_ptr<void> holdWhole(std::size_t Bytes) {
    return std::make_shared<Charge>(Totals_, Bytes, Limits_.SmallBytes_);
  }

  /// Returns the unfinished request to refuse now; nothing while the limits are
  /// kept, or if only requests that were received whole exceed them.
  std::optional<Caller> nextRefused(base::TimePoint Now) const {
    if (Limits_.Bytes_ == 0)
      return std::nullopt;
    const std::size_t MaxLarge =
        Limits_.Bytes_ - std::min(Limits_.SmallReserve_, Limits_.Bytes_);
    const bool LargeExceeded = Totals_->LargeBytes_ > MaxLarge;
    if (!LargeExceeded && Totals_->Bytes_ <= Limits_.Bytes_)
      return std::nullopt;
    std::optional<Caller> Picked;
    double PickedWeight = 0;
    for (const auto &[By, Held] : Unfinished_) {
      if (Held.Bytes_ == 0 || (LargeExceeded && !Held.isLarge()))
        continue;
      if (double Weight = weight(Held, Now); Weight > PickedWeight) {
        PickedWeight = Weight;
        Picked = By;
      }
    }
    return Picked;
  }

  /// Returns the unfinished request that has made no progress for longest, if
  /// that is \p Stall or longer, among those for which \p MayPick holds.
  template <class Predicate>
  std::optional<Caller> longestStalled(base::Duration Stall,
                                       base::TimePoint Now,
                                       Predicate MayPick) const {
    std::optional<Caller> Picked;
    base::TimePoint Latest = Now - Stall;
    for (const auto &[By, Held] : Unfinished_) {
      if (Held.ProgressAt_ > Latest || !MayPick(By))
        continue;
      Latest = Held.ProgressAt_;
      Picked = By;
    }
    return Picked;
  }

  /// Returns the bytes of all requests.
  std::size_t bytes() const { return Totals_->Bytes_; }

private:
  struct Totals {
    void add(std::size_t Bytes, std::size_t SmallBytes) {
      Bytes_ += Bytes;
      LargeBytes_ += Bytes > SmallBytes ? Bytes : 0;
    }
    void remove(std::size_t Bytes, std::size_t SmallBytes) {
      Bytes_ -= Bytes;
      LargeBytes_ -= Bytes > SmallBytes ? Bytes : 0;
    }

    std::size_t Bytes_ = 0;
    /// Bytes of the large requests.
    std::size_t LargeBytes_ = 0;
  };

  struct Entry {
    bool isLarge() const { return Bytes_ > SmallBytes_; }

    std::size_t Bytes_ = 0;
    /// Limit of small requests when Bytes_ was counted.
    std::size_t SmallBytes_ = 0;
    base::TimePoint ProgressAt_{};
  };

  class Charge {
  public:
    Charge(std::shared_ptr<Totals> Of, std::size_t Bytes,
           std::size_t SmallBytes)
        : Totals_(std::move(Of)), Bytes_(Bytes), SmallBytes_(SmallBytes) {
      Totals_->add(Bytes_, SmallBytes_);
    }
    ~Charge() { Totals_->remove(Bytes_, SmallBytes_); }
    Charge(const Charge &) = delete;
    Charge &operator=(const Charge &) = delete;

  private:
    std::shared_ptr<Totals> Totals_;
    std::size_t Bytes_;
    std::size_t SmallBytes_;
  };

  static double weight(const Entry &Held, base::TimePoint Now) {
    // Below this time, callers that send all the time differ by chance only.
    constexpr std::chrono::milliseconds MinStall{100};
    std::chrono::duration<double> Stall =
        std::max<base::Duration>(Now - Held.ProgressAt_, MinStall);
    return static_cast<double>(Held.Bytes_) * Stall.count();
  }

  RequestMemoryLimits Limits_;
  std::shared_ptr<Totals> Totals_ = std::make_shared<Totals>();
  std::unordered_map<Caller, Entry> Unfinished_;
};

} // namespace camphorwind::net

#endif // CAMPHORWIND_NET_REQUEST_MEMORY_H
