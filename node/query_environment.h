#pragma once

namespace snipefall {

class crash_detector;
class fan_out_engine;
class move_manager;
class quarantine_controller;
class sub_request_dispatcher;

/** Components of a node that all its queries and orders use. */
struct query_environment
{
    sub_request_dispatcher &dispatcher;
    fan_out_engine &engine;
    quarantine_controller &quarantine;
    crash_detector &crashDetector;
    move_manager &moveManager;
};

} // namespace snipefall
