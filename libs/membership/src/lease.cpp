#include "camphorwind/membership/lease.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace camphorwind::membership {

namespace {

std::string rowText(const base::Incarnation &Holder, FencingNumber Fencing,
                    std::uint64_t Write) {
  return nlohmann::json{
      {"holder", Holder.str()}, {"fencing", Fencing}, {"write", Write}}
      .dump();
}

} // namespace

base::Result<Lease, LeaseOptionError> Lease::create(LeaseOptions Options) {
  if (Options.Key_.empty())
    return base::failure(LeaseOptionError::Key);
  if (Options.Holder_.empty())
    return base::failure(LeaseOptionError::Holder);
  if (Options.Margin_.count() < 0 || Options.Duration_ <= Options.Margin_)
    return base::failure(LeaseOptionError::Duration);
  if (Options.RenewEvery_.count() <= 0 ||
      Options.RenewEvery_ >= Options.Duration_ - Options.Margin_)
    return base::failure(LeaseOptionError::Renewal);
  return Lease(std::move(Options));
}

Lease::Lease(LeaseOptions Options) : Options_(std::move(Options)) {}

std::optional<LeaseAction> Lease::tick(base::TimePoint Now) {
  if (Done_ || Pending_ != Pending::None)
    return std::nullopt;
  if (Releasing_ && Known_ && Seen_.Holder_ != Options_.Holder_) {
    Done_ = true;
    return std::nullopt;
  }
  if (Now < NextAt_ && !Releasing_)
    return std::nullopt;
  NextAt_ = Now + Options_.RenewEvery_;
  if (MustRead_)
    return startRead();
  if (Releasing_)
    return startWrite(Pending::Release, Seen_.Fencing_, Now);
  if (heldAt(Now))
    return startWrite(Pending::Renew, Fencing_, Now);
  bool Free = Seen_.Holder_.empty() || Seen_.Holder_ == Options_.Holder_ ||
              Now >= SeenAt_ + Options_.Duration_;
  if (Free)
    return startWrite(Pending::Take, Seen_.Fencing_ + 1, Now);
  return startRead();
}

LeaseAction Lease::startRead() {
  Pending_ = Pending::Read;
  return ReadRow{Options_.Key_};
}

LeaseAction Lease::startWrite(Pending Kind, FencingNumber Fencing,
                              base::TimePoint Now) {
  Pending_ = Kind;
  SentAt_ = Now;
  SentFencing_ = Fencing;
  base::Incarnation Holder =
      Kind == Pending::Release ? base::Incarnation() : Options_.Holder_;
  return base::Transaction{
      {{Options_.Key_, Seen_.Version_}},
      {{Options_.Key_, rowText(Holder, Fencing, ++Writes_)}}};
}

void Lease::see(const base::Row &Row, base::TimePoint Now) {
  if (!Known_ || Row.Version_ != Seen_.Version_)
    SeenAt_ = Now;
  Known_ = true;
  Seen_.Version_ = Row.Version_;
  nlohmann::json Value = nlohmann::json::parse(Row.Value_, nullptr, false);
  Seen_.Holder_ = base::Incarnation();
  if (!Value.is_object())
    return;
  auto Number = [&](const char *Name, std::uint64_t Otherwise) {
    auto Found = Value.find(Name);
    bool Usable = Found != Value.end() && Found->is_number_unsigned();
    return Usable ? Found->get<std::uint64_t>() : Otherwise;
  };
  auto Holder = Value.find("holder");
  if (Holder != Value.end() && Holder->is_string())
    Seen_.Holder_ = base::Incarnation(Holder->get<std::string>());
  Seen_.Fencing_ = Number("fencing", Seen_.Fencing_);
  Seen_.Write_ = Number("write", 0);
}

void Lease::lose() {
  HeldUntil_.reset();
  Fencing_ = 0;
}

void Lease::readDone(const base::ReadResult &Result, base::TimePoint Now) {
  if (Pending_ != Pending::Read)
    return;
  Pending_ = Pending::None;
  if (Result.Status_ != base::ReadStatus::Ok)
    return;
  base::Row Row{Options_.Key_, 0, {}};
  for (const base::Row &Found : Result.Rows_)
    if (Found.Key_ == Options_.Key_)
      Row = Found;
  bool Unresolved = std::exchange(MustRead_, false) && SentFencing_ != 0;
  see(Row, Now);
  NextAt_ = Now;
  bool Mine = Seen_.Holder_ == Options_.Holder_;
  if (!Mine) {
    lose();
    return;
  }
  // The write whose reply was lost took effect; it counts from its sending.
  // An earlier one that arrived late carries another number.
  if (Unresolved && Seen_.Write_ == Writes_ && !Releasing_) {
    HeldUntil_ = SentAt_ + Options_.Duration_ - Options_.Margin_;
    Fencing_ = Seen_.Fencing_;
  }
}

void Lease::transactionDone(const base::TransactionResult &Result,
                            base::TimePoint Now) {
  Pending Kind = std::exchange(Pending_, Pending::None);
  if (Kind == Pending::None || Kind == Pending::Read) {
    Pending_ = Kind;
    return;
  }
  switch (Result.Status_) {
  case base::TransactionStatus::Committed:
    Seen_ = {Result.Version_,
             Kind == Pending::Release ? base::Incarnation() : Options_.Holder_,
             SentFencing_, Writes_};
    SeenAt_ = Now;
    Done_ = Kind == Pending::Release;
    if (!Releasing_) {
      HeldUntil_ = SentAt_ + Options_.Duration_ - Options_.Margin_;
      Fencing_ = SentFencing_;
    }
    return;
  case base::TransactionStatus::Conflict:
    // Somebody else wrote the row, or an earlier write of ours arrived late.
    MustRead_ = true;
    SentFencing_ = 0;
    lose();
    NextAt_ = Now;
    return;
  case base::TransactionStatus::Unknown:
    MustRead_ = true;
    NextAt_ = Now;
    return;
  case base::TransactionStatus::NotSent:
  case base::TransactionStatus::Unavailable:
    return;
  }
}

void Lease::release() {
  Releasing_ = true;
  lose();
}

bool Lease::heldAt(base::TimePoint Now) const {
  return HeldUntil_ && Now < *HeldUntil_;
}

std::optional<FencingNumber> Lease::fencingAt(base::TimePoint Now) const {
  if (!heldAt(Now))
    return std::nullopt;
  return Fencing_;
}

LeaseState Lease::state(base::TimePoint Now) const {
  if (Releasing_)
    return LeaseState::Released;
  return heldAt(Now) ? LeaseState::Held : LeaseState::Waiting;
}

} // namespace camphorwind::membership
