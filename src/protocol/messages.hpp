/// All messages of the public protocols. Prefer the header of the one protocol that is needed.
#pragma once
#include "protocol/cloud_messages.hpp"
#include "protocol/user_messages.hpp"
#include "protocol/worker_messages.hpp"
