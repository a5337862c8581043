#pragma once

#include "core/configuration.h"
#include "core/parsed.h"

namespace snipefall {

/** Turns a configuration document into a checked configuration. */
class configuration_parser
{
public:
    /** Reports all invalid fields at once; members that are missing get the defaults of service_settings, but the version is required. */
    static parsed<configuration> parse(const json &document, config_version version);
};

} // namespace snipefall
