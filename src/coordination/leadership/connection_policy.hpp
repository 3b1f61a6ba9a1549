// Which connections are kept after an answer when sockets run short. Pure.
#pragma once
#include <cstddef>
#include <cstdint>

namespace damsonport {

enum class Requester : uint8_t { user, worker, other };

struct ConnectionLoad {
  size_t open = 0, most = 0;  // connections of users and workers
  size_t fleet = 0;           // machines that are known
};

// A worker keeps its connection, since it reports again soon; users' connections go first. A fleet
// with more machines than there are connections shares them: each is closed after its report, so
// that the next machine is accepted.
inline bool closes_after_answer(Requester requester, const ConnectionLoad& load) {
  constexpr double crowded_share = 0.75, full_share = 0.9;
  const auto open = static_cast<double>(load.open), most = static_cast<double>(load.most);
  switch (requester) {
    case Requester::user:
      return open > crowded_share * most;
    case Requester::worker:
      return open > full_share * most && static_cast<double>(load.fleet) > full_share * most;
    case Requester::other:
      return false;
  }
  return false;
}

}  // namespace damsonport
