/// All published messages. Prefer the header of the one wire that is needed.
#pragma once
#include "protocol/cloud_messages.hpp"
#include "protocol/user_messages.hpp"
#include "protocol/worker_messages.hpp"
