#ifndef CAMPHORWIND_TOOLS_CAMPHORCTL_SESSION_H
#define CAMPHORWIND_TOOLS_CAMPHORCTL_SESSION_H

#include "camphorwind/base/result.h"
#include "camphorwind/net/http-client.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/platform/platform-client.h"

#include <memory>
#include <optional>
#include <string>

namespace camphorwind::ctl {

/// The platform as commands use it: each call waits for its end.
class Session {
public:
  /// Fails with IoErrorKind::ResourceLimit.
  static base::Result<std::unique_ptr<Session>, base::IoError>
  create(const base::Address &Platform);

  base::TransactionResult transact(base::Transaction Change);
  base::ReadResult read(const std::string &Key);
  base::ReadResult scan(const std::string &Prefix);
  base::Result<std::string, platform::FetchError>
  getObject(const std::string &Name);
  bool putObject(const std::string &Name, std::string Bytes);
  /// Gets http://Server/Path; nothing unless the answer's status is 200.
  std::optional<std::string> get(const base::Address &Server,
                                 const std::string &Path);
  void sleepUntil(base::TimePoint Until);
  base::TimePoint now() const { return Owner_->now(); }

private:
  Session(std::unique_ptr<net::Loop> Owner,
          std::unique_ptr<net::HttpClient> Http, const base::Address &Platform);

  std::unique_ptr<net::Loop> Owner_;
  std::unique_ptr<net::HttpClient> Http_;
  platform::PlatformClient Client_;
};

} // namespace camphorwind::ctl

#endif // CAMPHORWIND_TOOLS_CAMPHORCTL_SESSION_H
