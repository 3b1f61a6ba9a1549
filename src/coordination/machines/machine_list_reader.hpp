/// Reads the cloud's list of machines page by page, with a share of the cloud's call rate.
#pragma once
#include <functional>
#include <stop_token>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "transport/http.hpp"
#include "transport/loop.hpp"

namespace damsonport {

/// Reads the machine list of the cloud. Keeps no state between calls; several coroutines may read
/// concurrently.
class MachineListReader {
 public:
  /// Called for each machine of the list.
  using OnMachine = std::function<void(const ListedMachine&)>;
  /// Returns false to end the reading early.
  using KeepGoing = std::function<bool()>;

  MachineListReader(Loop& loop, const Settings& settings, HttpClient& http)
      : loop_(loop), settings_(settings), http_(http) {}

  /// Reads the whole list once and calls `on_machine` for each machine in it. A page that is
  /// refused or gets no response is requested again, so that a list of any length is read to its
  /// end. Returns false if the reading ended early, because a stop was requested or `keep_going`,
  /// called after each wait, returned false.
  [[nodiscard]] Task<bool> read(OnMachine on_machine, KeepGoing keep_going,
                                std::stop_token stop_token);

  /// Seconds between the requests for two pages. The rest of the cloud's call rate is left to other
  /// calls.
  static double page_gap_s(const Settings& settings);

 private:
  Task<Result<MachineList>> read_page(std::string after);

  Loop& loop_;
  const Settings& settings_;
  HttpClient& http_;
};

}  // namespace damsonport
