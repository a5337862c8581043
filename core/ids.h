#pragma once

#include "core/strong_id.h"
#include "core/strong_number.h"

namespace snipefall {

using service_id = strong_id<struct service_id_tag>;
using node_id = strong_id<struct node_id_tag>;
using backend_server_id = strong_id<struct backend_server_id_tag>;
using failure_domain_id = strong_id<struct failure_domain_id_tag>;
using version_id = strong_id<struct version_id_tag>;
using snapshot_id = strong_id<struct snapshot_id_tag>;
using request_id = strong_id<struct request_id_tag>;
using caller_id = strong_id<struct caller_id_tag>;
using patch_id = strong_id<struct patch_id_tag>;

using shard_index = strong_number<struct shard_index_tag, std::uint32_t>;
using sub_request_id = strong_number<struct sub_request_id_tag>;
/** The version number of a committed configuration; 0 is the empty configuration. */
using config_version = strong_number<struct config_version_tag>;
/** The version of an object in the platform's store; 0 means that the object does not exist. */
using object_version = strong_number<struct object_version_tag>;
/** The start time of a node in milliseconds since 1970, so that a node that restarts without stored state gets a higher incarnation. */
using incarnation = strong_number<struct incarnation_tag>;

} // namespace snipefall
