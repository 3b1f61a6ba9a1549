/// The fencing tokens of one shard lease.
#pragma once
#include <cstdint>

namespace damsonport {

/// A shard lease is acquired with one token and may be raised to higher ones (ShardLeaseKeeper).
/// All of them are higher than those of earlier leases and lower than those of later ones, so the
/// shard leader may send each worker its messages under any of them.
struct FencingTokens {
  uint64_t first = 0;   ///< identifies the lease; 0: none was held yet
  uint64_t newest = 0;  ///< the highest one that may be sent
};

}  // namespace damsonport
