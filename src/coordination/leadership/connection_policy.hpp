/// Decides which connections are kept open after an answer when sockets are scarce. Pure.
#pragma once
#include <cstddef>
#include <cstdint>

namespace damsonport {

/// Who sent the HTTP request, by its path.
enum class Requester : uint8_t { user, worker, other };

/// The numbers that closes_after_answer() decides on.
struct ConnectionLoad {
  size_t open = 0;      // open connections of users and workers
  size_t limit = 0;     // maximum number of such connections
  size_t machines = 0;  // known machines, each with one worker
};

/// Whether the connection is closed after the answer. A worker keeps its connection, since it sends
/// again soon; users' connections are closed first. If there are more machines than connections,
/// the workers share the connections: each is closed after a heartbeat, so that the next worker is
/// accepted.
inline bool closes_after_answer(Requester requester, const ConnectionLoad& load) {
  // Shares of the limit from which connections of users and of workers are closed.
  constexpr double crowded_share = 0.75;
  constexpr double full_share = 0.9;
  const auto open = static_cast<double>(load.open);
  const auto limit = static_cast<double>(load.limit);
  const auto machines = static_cast<double>(load.machines);
  switch (requester) {
    case Requester::user:
      return open > crowded_share * limit;
    case Requester::worker:
      return open > full_share * limit && machines > full_share * limit;
    case Requester::other:
      return false;
  }
  return false;
}

}  // namespace damsonport
