// The cloud's machine list, read page by page at a share of the cloud's rate.
#pragma once
#include <functional>
#include <stop_token>

#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "transport/http.hpp"
#include "transport/loop.hpp"

namespace damsonport {

class MachineListReader {
 public:
  using Take = std::function<void(const ListedMachine&)>;
  using KeepGoing = std::function<bool()>;

  MachineListReader(Loop& loop, const Settings& settings, HttpClient& http)
      : loop_(loop), settings_(settings), http_(http) {}

  // Reads the whole list once and hands over every machine in it. A page that is refused or not
  // answered is asked for again, so a list of any length is read to its end. `keep_going` is asked
  // after each wait. Yields false when the reading was given up.
  Task<bool> read(Take take, KeepGoing keep_going, std::stop_token stop_token);

  // Seconds between two pages, for which other calls to the cloud have the rest of its rate.
  static double page_gap_s(const Settings& settings);

 private:
  Task<Result<MachineList>> read_page(std::string after);

  Loop& loop_;
  const Settings& settings_;
  HttpClient& http_;
};

}  // namespace damsonport
