/// \file
/// All of the quota: settings, messages, the allocator's and the client's side.
#pragma once

#include "quota/quota_allocator.h"
#include "quota/quota_client.h"
#include "quota/quota_config.h"
#include "quota/quota_message.h"
