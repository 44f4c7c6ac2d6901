#include "camphorwind/budget/rows.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace camphorwind::budget {
namespace {

using nlohmann::json;

/// Reads typed fields of a JSON object and remembers the first failure.
class FieldReader {
public:
  explicit FieldReader(std::string_view Text)
      : Object_(json::parse(Text, nullptr, false)) {
    if (!Object_.is_object())
      fail(RowError::NotJson);
  }
  explicit FieldReader(json Object) : Object_(std::move(Object)) {
    if (!Object_.is_object())
      fail(RowError::WrongType);
  }

  std::string text(const char *Name) {
    const json *Field = find(Name);
    if (!Field)
      return {};
    if (!Field->is_string()) {
      fail(RowError::WrongType);
      return {};
    }
    return Field->get<std::string>();
  }

  std::int64_t number(const char *Name) {
    const json *Field = find(Name);
    return Field ? number(*Field) : 0;
  }

  std::int64_t number(const json &Field) {
    if (!Field.is_number_integer()) {
      fail(RowError::WrongType);
      return 0;
    }
    if (Field.is_number_unsigned() &&
        Field.get<std::uint64_t>() >
            static_cast<std::uint64_t>(base::Tokens::max().count())) {
      fail(RowError::OutOfRange);
      return 0;
    }
    const auto Value = Field.get<std::int64_t>();
    if (Value < 0)
      fail(RowError::OutOfRange);
    return Value;
  }

  base::Tokens tokens(const char *Name) { return base::Tokens(number(Name)); }

  /// Returns the field as a container of the JSON type \p Type.
  const json &container(const char *Name, json::value_t Type) {
    static const json Empty;
    const json *Field = find(Name);
    if (!Field)
      return Empty;
    if (Field->type() == Type)
      return *Field;
    fail(RowError::WrongType);
    return Empty;
  }

  void fail(RowError Error) {
    if (!Error_)
      Error_ = Error;
  }
  const std::optional<RowError> &error() const { return Error_; }

private:
  const json *find(const char *Name) {
    if (!Object_.is_object())
      return nullptr;
    const auto Field = Object_.find(Name);
    if (Field != Object_.end())
      return &*Field;
    fail(RowError::MissingField);
    return nullptr;
  }

  json Object_;
  std::optional<RowError> Error_;
};

/// Whether \p Entry is an array of \p Size elements.
bool isTuple(const json &Entry, std::size_t Size) {
  return Entry.is_array() && Entry.size() == Size;
}

Tally::Counters readCounters(FieldReader &Reader) {
  Tally::Counters Result;
  for (const auto &[Agent, Entry] :
       Reader.container("counters", json::value_t::object).items()) {
    if (!isTuple(Entry, 2)) {
      Reader.fail(RowError::WrongType);
      continue;
    }
    Counter &Count = Result[base::Incarnation(Agent)];
    Count.Sequence_ = static_cast<std::uint64_t>(Reader.number(Entry[0]));
    Count.Cumulative_ = base::Tokens(Reader.number(Entry[1]));
  }
  return Result;
}

Tally::Listed readListed(FieldReader &Reader) {
  Tally::Listed Result;
  for (const auto &[Attempt, Entry] :
       Reader.container("listed", json::value_t::object).items()) {
    if (!isTuple(Entry, 2) || !Entry[1].is_boolean()) {
      Reader.fail(RowError::WrongType);
      continue;
    }
    Result[base::AttemptId(Attempt)] = {base::Tokens(Reader.number(Entry[0])),
                                        Entry[1].get<bool>()};
  }
  return Result;
}

std::vector<WitnessEntry> readWitnesses(FieldReader &Reader) {
  std::vector<WitnessEntry> Result;
  for (const json &Entry :
       Reader.container("witnesses", json::value_t::array)) {
    FieldReader Witness(Entry);
    Result.push_back({base::Incarnation(Witness.text("agent")),
                      base::EndpointId(Witness.text("endpoint")),
                      base::HostId(Witness.text("host")),
                      Witness.text("address")});
    if (Witness.error())
      Reader.fail(*Witness.error());
  }
  return Result;
}

} // namespace

std::string_view toString(RowError Error) {
  switch (Error) {
  case RowError::NotJson:
    return "not_json";
  case RowError::MissingField:
    return "missing_field";
  case RowError::WrongType:
    return "wrong_type";
  case RowError::OutOfRange:
    return "out_of_range";
  }
  return "unknown";
}

std::string budgetKey(const base::BudgetId &Budget) {
  return std::string(BudgetPrefix) + Budget.str();
}

std::string leaseKey(const base::Incarnation &Router) {
  return std::string(LeasePrefix) + Router.str();
}

std::string slicesPrefix(const base::Incarnation &Router) {
  return std::string(SlicePrefix) + Router.str() + "/";
}

std::string sliceKey(const base::SliceId &Slice) {
  return std::string(SlicePrefix) + Slice.str();
}

base::SliceId sliceId(const base::Incarnation &Router,
                      const base::BudgetId &Budget) {
  return base::SliceId(Router.str() + "/" + Budget.str());
}

std::string encode(const BudgetRow &Row) {
  return json{{"prepaid", Row.Prepaid_.count()},
              {"committed", Row.Granted_.count()},
              {"billed", Row.Billed_.count()}}
      .dump();
}

std::string encode(const SliceRow &Row) {
  json Counters = json::object();
  for (const auto &[Agent, Count] : Row.Tally_.counters())
    Counters[Agent.str()] = {Count.Sequence_, Count.Cumulative_.count()};
  json Listed = json::object();
  for (const auto &[Attempt, Commit] : Row.Tally_.listed())
    Listed[Attempt.str()] = {Commit.Used_.count(), Commit.Counted_};
  return json{{"budget", Row.Budget_.str()},
              {"router", Row.Router_.str()},
              {"incarnation", Row.Incarnation_.str()},
              {"granted", Row.Granted_.count()},
              {"folded", Row.Tally_.folded().count()},
              {"counters", std::move(Counters)},
              {"listed", std::move(Listed)}}
      .dump();
}

std::string encode(const LeaseRow &Row) {
  json Witnesses = json::array();
  for (const WitnessEntry &Entry : Row.Witnesses_)
    Witnesses.push_back({{"agent", Entry.Agent_.str()},
                         {"endpoint", Entry.Endpoint_.str()},
                         {"host", Entry.Host_.str()},
                         {"address", Entry.Address_}});
  return json{{"router", Row.Router_.str()},
              {"incarnation", Row.Incarnation_.str()},
              {"state", Row.State_ == LeaseState::Live ? "live" : "revoked"},
              {"transaction", Row.Transaction_},
              {"witnesses", std::move(Witnesses)}}
      .dump();
}

base::Result<BudgetRow, RowError> decodeBudget(std::string_view Text) {
  FieldReader Reader(Text);
  BudgetRow Row;
  Row.Prepaid_ = Reader.tokens("prepaid");
  Row.Granted_ = Reader.tokens("committed");
  Row.Billed_ = Reader.tokens("billed");
  if (Row.Billed_ > Row.Granted_ || Row.Granted_ > Row.Prepaid_)
    Reader.fail(RowError::OutOfRange);
  if (Reader.error())
    return base::failure(*Reader.error());
  return Row;
}

base::Result<SliceRow, RowError> decodeSlice(std::string_view Text) {
  FieldReader Reader(Text);
  SliceRow Row;
  Row.Budget_ = base::BudgetId(Reader.text("budget"));
  Row.Router_ = base::RouterId(Reader.text("router"));
  Row.Incarnation_ = base::Incarnation(Reader.text("incarnation"));
  Row.Granted_ = Reader.tokens("granted");
  const base::Tokens Folded = Reader.tokens("folded");
  Row.Tally_ = Tally(Folded, readCounters(Reader), readListed(Reader));
  if (Row.Tally_.total() > Row.Granted_)
    Reader.fail(RowError::OutOfRange);
  if (Reader.error())
    return base::failure(*Reader.error());
  return Row;
}

base::Result<LeaseRow, RowError> decodeLease(std::string_view Text) {
  FieldReader Reader(Text);
  LeaseRow Row;
  Row.Router_ = base::RouterId(Reader.text("router"));
  Row.Incarnation_ = base::Incarnation(Reader.text("incarnation"));
  const std::string State = Reader.text("state");
  if (State != "live" && State != "revoked")
    Reader.fail(RowError::WrongType);
  Row.State_ = State == "live" ? LeaseState::Live : LeaseState::Revoked;
  Row.Transaction_ = static_cast<std::uint64_t>(Reader.number("transaction"));
  Row.Witnesses_ = readWitnesses(Reader);
  if (Reader.error())
    return base::failure(*Reader.error());
  return Row;
}

} // namespace camphorwind::budget
