#include "camphorwind/config/answers.h"

#include <nlohmann/json.hpp>

namespace camphorwind::config {

namespace {

std::string jsonText(const std::string &Text) {
  return nlohmann::json(Text).dump();
}

std::string joinedNames(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + jsonText(Name);
  return Text;
}

/// Writes lines of JSON with comments, each at its depth.
class Writer {
public:
  void comment(const std::string &Text) { line("// " + Text); }
  /// Opens an object, under \p Key if it is not empty.
  void open(const std::string &Key, char Bracket = '{') {
    line((Key.empty() ? "" : jsonText(Key) + ": ") + Bracket);
    ++Depth_;
    First_ = true;
  }
  void close(char Bracket = '}') {
    --Depth_;
    Text_ += "\n" + indent() + Bracket;
    First_ = false;
  }
  /// Writes a key with a value that is JSON already.
  void value(const std::string &Key, const std::string &Json) {
    line(jsonText(Key) + ": " + Json);
    First_ = false;
  }
  void text(const std::string &Key, const std::string &Text) {
    value(Key, jsonText(Text));
  }
  void item(const std::string &Json) {
    line(Json);
    First_ = false;
  }
  std::string finish() { return Text_ + "\n"; }

private:
  std::string indent() const { return std::string(Depth_ * 2, ' '); }

  /// The comma after the value before goes in front of a comment, too.
  void line(const std::string &Content) {
    bool IsComment = Content.starts_with("//");
    if (!First_ && !Comma_)
      Text_ += ",";
    Text_ += (Text_.empty() ? "" : "\n") + indent() + Content;
    Comma_ = IsComment;
  }

  std::string Text_;
  std::size_t Depth_ = 0;
  bool First_ = true;
  /// Whether the comma before the next value stands already.
  bool Comma_ = false;
};

void writeRegions(Writer &Out, const Answers &From) {
  Out.comment("Where hosts stand; endpoints are chosen across these.");
  Out.open("regions");
  Out.open(From.Region_);
  Out.value("failure_domains", "[" + joinedNames(From.FailureDomains_) + "]");
  Out.close();
  Out.close();
}

void writeAccounts(Writer &Out, const Answers &From) {
  Out.comment("One budget for each account; top it up with `camphorctl budget "
              "top-up`.");
  Out.comment(
      "Keys are not generated: make them with `camphorctl key create`.");
  Out.open("accounts");
  for (const std::string &Name : From.Accounts_)
    Out.value(Name, "{\"default_budget\": " + jsonText(Name + "-main") +
                        ", \"keys\": {}}");
  Out.close();
  Out.open("budgets");
  for (const std::string &Name : From.Accounts_)
    Out.value(Name + "-main", "{\"account\": " + jsonText(Name) + "}");
  Out.close();
}

void writeModels(Writer &Out, const Answers &From) {
  Out.open("models");
  Out.open(From.Model_);
  Out.comment("Prompt and answer together; a longer request is refused.");
  Out.value("context_tokens", std::to_string(From.ContextTokens_));
  Out.comment("Reserved from the budget before a request starts, unless it "
              "names less.");
  Out.value("max_output_tokens", std::to_string(From.MaxOutputTokens_));
  Out.open("versions");
  Out.value(From.ModelVersion_,
            "{\"object\": " + jsonText(From.WeightsObject_) +
                ", \"bytes\": " + std::to_string(From.WeightsBytes_) + "}");
  Out.close();
  Out.text("version", From.ModelVersion_);
  Out.close();
  Out.close();
}

void writeCall(Writer &Out, const std::string &Call, bool Idempotent) {
  std::size_t Space = Call.find(' ');
  Out.item("{\"method\": " + jsonText(Call.substr(0, Space)) +
           ", \"path\": " + jsonText(Call.substr(Space + 1)) +
           ", \"idempotent\": " + (Idempotent ? "true" : "false") + "}");
}

void writeServices(Writer &Out, const Answers &From) {
  if (From.Service_.empty())
    return;
  Out.open("services");
  Out.open(From.Service_);
  Out.comment("The first call that matches counts; calls that are not "
              "idempotent run at most once.");
  Out.open("calls", '[');
  for (const std::string &Call : From.OnceOnlyCalls_)
    writeCall(Out, Call, false);
  for (const std::string &Call : From.RepeatableCalls_)
    writeCall(Out, Call, true);
  Out.close(']');
  Out.close();
  Out.close();
}

void writeEndpoints(Writer &Out, const AgentsByDomain &Agents,
                    const std::string &Prefix) {
  Out.open("endpoints");
  for (const auto &[Domain, Addresses] : Agents) {
    for (std::size_t Index = 0; Index < Addresses.size(); ++Index) {
      std::string Name =
          Prefix + "-" + Domain + "-" + std::to_string(Index + 1);
      Out.value(Name,
                "{\"agent\": " + jsonText(base::toString(Addresses[Index])) +
                    ", \"host\": " + jsonText(Name) +
                    ", \"failure_domain\": " + jsonText(Domain) + "}");
    }
  }
  Out.close();
}

void writePools(Writer &Out, const Answers &From) {
  Out.open("pools");
  Out.open("language");
  Out.text("kind", "model_engine");
  Out.value("models", "[" + jsonText(From.Model_) + "]");
  Out.comment("Whether the engines refuse an order with an older fencing "
              "number; the agents refuse it in any case.");
  Out.value("capabilities",
            std::string("{\"checks_fencing\": ") +
                (From.EnginesCheckFencing_ ? "true" : "false") +
                ", \"honours_priorities\": true, \"resumes_streams\": true, "
                "\"cancels_streams\": true, \"publishes_cache_events\": true, "
                "\"reports_load\": true}");
  writeEndpoints(Out, From.Engines_, "engine");
  Out.close();
  if (!From.Service_.empty()) {
    Out.open(From.Service_);
    Out.text("kind", "plain_service");
    Out.value("services", "[" + jsonText(From.Service_) + "]");
    Out.value("capabilities", "{\"reports_load\": true}");
    writeEndpoints(Out, From.ServiceHosts_, From.Service_);
    Out.close();
  }
  Out.close();
}

void writeRoutes(Writer &Out, const Answers &From) {
  Out.comment("Every account may use every route; name \"accounts\" to "
              "narrow one.");
  Out.open("routes");
  Out.value(From.Model_, "{\"model\": " + jsonText(From.Model_) +
                             ", \"pools\": [\"language\"]}");
  if (!From.Service_.empty())
    Out.value("service-" + From.Service_,
              "{\"service\": " + jsonText(From.Service_) + ", \"pools\": [" +
                  jsonText(From.Service_) + "]}");
  Out.close();
}

void writePolicies(Writer &Out, const Answers &From) {
  bool Small = From.Caution_ == Caution::Overspend;
  Out.open("policies");
  Out.comment(Small ? "Overspend is feared more: routers hold little, so "
                      "little is stranded in one that is cut off."
                    : "Refusals are feared more: routers hold enough for a "
                      "longer outage of the table.");
  Out.comment("The prepaid limit holds with either.");
  Out.open("slices");
  Out.text("cover", Small ? "30s" : "3min");
  Out.value("smallest_tokens", Small ? "500" : "5000");
  Out.value("largest_share", Small ? "0.1" : "0.25");
  Out.close();
  Out.close();
}

} // namespace

std::string generate(const Answers &Value) {
  Writer Out;
  Out.open("");
  Out.comment("Generated by `camphorctl generate`; edit freely.");
  Out.value("format", "1");
  Out.text("fleet", Value.Fleet_);
  writeRegions(Out, Value);
  writeAccounts(Out, Value);
  writeModels(Out, Value);
  writeServices(Out, Value);
  writePools(Out, Value);
  writeRoutes(Out, Value);
  writePolicies(Out, Value);
  Out.close();
  return Out.finish();
}

} // namespace camphorwind::config
