#include "command-line.h"
#include "config-commands.h"
#include "configuration-edit.h"

#include "camphorwind/config/keys.h"
#include "camphorwind/config/parse.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace camphorwind::ctl {

namespace options = boost::program_options;

namespace {

constexpr int OwnerOnly = 0600;

/// Writes a secret to a new file that only its owner can read.
bool writeSecret(const std::string &Path, const std::string &Secret) {
  int Fd =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
  if (Fd < 0)
    return false;
  std::string Line = Secret + "\n";
  bool Written = ::write(Fd, Line.data(), Line.size()) ==
                 static_cast<ssize_t>(Line.size());
  return ::close(Fd) == 0 && Written;
}

config::NewKey newKey(const config::KeyId &Id) {
  config::KeyEntropy Entropy;
  randombytes_buf(Entropy.data(), Entropy.size());
  return config::makeKey(Id, Entropy);
}

base::Result<std::string, EditError> addAccount(const std::string &Text,
                                                const std::string &Account,
                                                const std::string &Budget,
                                                const config::KeyRecord &Key) {
  nlohmann::ordered_json AccountValue{
      {"default_budget", Budget},
      {"keys", {{Key.Id_.str(), {{"salt", Key.Salt_}, {"hash", Key.Hash_}}}}}};
  nlohmann::ordered_json BudgetValue{{"account", Account}};
  BOOST_OUTCOME_TRY(WithBudget,
                    addMember(Text, "budgets", Budget, BudgetValue.dump()));
  return addMember(WithBudget, "accounts", Account, AccountValue.dump());
}

/// Adds a key to the configuration text given.
using AddKey = std::function<base::Result<std::string, EditError>(
    const std::string &Text, const config::KeyRecord &Key)>;

/// Makes a key, accepts the configuration with it, and leaves its secret in
/// the file given.
ExitCode acceptKey(CommandContext &Context, const std::string &KeyId,
                   const AddKey &Add) {
  Session &Platform = *Context.Platform_;
  std::string KeyFile = Context.text("key-file");
  auto Seen = currentRevision(Platform);
  if (!Seen || Seen->Version_ == 0) {
    std::cerr << (Seen ? "no configuration is in force\n"
                       : "the platform does not answer\n");
    return Seen ? ExitCode::NotFound : ExitCode::Unavailable;
  }
  auto Text = Platform.getObject(config::textObject(*Seen));
  if (!Text) {
    std::cerr << "the configuration in force can't be read\n";
    return ExitCode::Unavailable;
  }
  config::NewKey Key = newKey(config::KeyId(KeyId));
  auto Edited = Add(Text.value(), Key.Record_);
  if (!Edited) {
    std::cerr << "the configuration lacks the object to add the key to\n";
    return ExitCode::BadInput;
  }
  if (!writeSecret(KeyFile, Key.Key_)) {
    std::cerr << KeyFile << ": can't be written, or exists already\n";
    return ExitCode::BadInput;
  }
  ExitCode Ended = acceptText(Platform, Edited.value(), "configuration", *Seen,
                              Context.text("operator"));
  if (Ended != ExitCode::Success && Ended != ExitCode::Undecided)
    ::unlink(KeyFile.c_str());
  return Ended;
}

ExitCode create(CommandContext &Context) {
  const std::string &Account = Context.text("account");
  std::string Budget =
      Context.has("budget") ? Context.text("budget") : Account + "-main";
  return acceptKey(Context, Account + "-1",
                   [&](const std::string &Text, const config::KeyRecord &Key) {
                     return addAccount(Text, Account, Budget, Key);
                   });
}

ExitCode createKey(CommandContext &Context) {
  const std::string &Account = Context.text("account");
  return acceptKey(
      Context, Context.text("key-id"),
      [&](const std::string &Text, const config::KeyRecord &Key) {
        nlohmann::ordered_json Value{{"salt", Key.Salt_}, {"hash", Key.Hash_}};
        return addMemberAt(Text, {"accounts", Account, "keys"}, Key.Id_.str(),
                           Value.dump());
      });
}

} // namespace

std::vector<Command> accountCommands() {
  Command Create{"account create",
                 "add a client account with a key and a budget",
                 {"account"},
                 options::options_description("Options"),
                 true,
                 create};
  auto Add = Create.Options_.add_options();
  Add("budget", options::value<std::string>(),
      "name of its budget (default: ACCOUNT-main)");
  Add("key-file", options::value<std::string>()->required(),
      "new file that gets the account's key");
  Add("operator", options::value<std::string>()->default_value("operator"),
      "who adds it");
  Command Key{
      "key create", "add a key to an account, besides those that it has",
      {"account"},  options::options_description("Options"),
      true,         createKey};
  auto AddToKey = Key.Options_.add_options();
  AddToKey("key-id", options::value<std::string>()->required(),
           "public part of the key, unique in the fleet");
  AddToKey("key-file", options::value<std::string>()->required(),
           "new file that gets the key");
  AddToKey("operator", options::value<std::string>()->default_value("operator"),
           "who adds it");
  return {Create, Key};
}

} // namespace camphorwind::ctl
