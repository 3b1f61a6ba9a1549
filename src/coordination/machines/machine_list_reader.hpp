/// Reads the cloud's list of machines, page by page, at a share of the cloud's call rate.
#pragma once
#include <functional>
#include <stop_token>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "transport/http.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Has no state of its own between calls; several coroutines may read at once.
class MachineListReader {
 public:
  using OnMachine = std::function<void(const ListedMachine&)>;
  using KeepGoing = std::function<bool()>;

  MachineListReader(Loop& loop, const Settings& settings, HttpClient& http)
      : loop_(loop), settings_(settings), http_(http) {}

  /// Reads the whole list once and calls `on_machine` with every machine in it. A page that is
  /// refused or not answered is asked for again, so a list of any length is read to its end. Ends
  /// early, with false, when a stop is requested or `keep_going`, called after each wait, returns
  /// false.
  [[nodiscard]] Task<bool> read(OnMachine on_machine, KeepGoing keep_going,
                                std::stop_token stop_token);

  /// Seconds between two pages. The rest of the cloud's call rate is left to other calls.
  static double page_gap_s(const Settings& settings);

 private:
  Task<Result<MachineList>> read_page(std::string after);

  Loop& loop_;
  const Settings& settings_;
  HttpClient& http_;
};

}  // namespace damsonport
