// The machine types, read from the cloud by every node: submissions are checked against them.
#pragma once
#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

class MachineTypeCatalog {
 public:
  MachineTypeCatalog(Loop& loop, HttpClient& http, const Settings& settings)
      : loop_(loop), http_(http), settings_(settings) {}
  Task<void> follow(std::stop_token stop_token);
  bool known() const { return !types_.empty(); }
  const std::vector<MachineType>& types() const { return types_; }
  const MachineType* type(const std::string& name) const;
  // Of the dearest type, an hour.
  double dearest_price() const;

 private:
  Loop& loop_;
  HttpClient& http_;
  const Settings& settings_;
  std::vector<MachineType> types_;
  WarningLimiter warning_;
};

}  // namespace damsonport
